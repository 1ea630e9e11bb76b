// The server side: balancers' connections, their requests as requests, answers and health.
#pragma once

#include <event2/listener.h>

#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/fastcgi.h"
#include "peers/slow_client_policy.h"
#include "service/service.h"

namespace myrtlecroft::net {

class FastCgiServer final : public service::Listener {
 public:
  // Listens from here on, and holds at most about so many connections, and bytes for all of them together.
  // Throws std::runtime_error when the address can't be had.
  FastCgiServer(Loop& loop, service::Logger& log, const sockaddr_in& listen, std::size_t max_connections,
                std::size_t max_bytes, const peers::SlowClientOptions& config = {});
  ~FastCgiServer() override;
  // `finished` is told once, after finish(), when no connection is left and none waits to be accepted.
  void serve(service::Service& service, std::function<void()> finished);
  std::size_t connections() const { return peers_.size(); }
  peers::SlowClientPolicy& slow_client_policy() { return pacing_; }
  std::uint64_t ended(CloseReason reason) const { return ended_[static_cast<std::size_t>(reason)]; }

  void close_idle(Nanos after) override;
  void finish() override;

 private:
  class BalancerConnection;
  struct OpenRequest;

  static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr* from, int size, void* self);
  static void accept_failed(evconnlistener*, void* self);
  void add(evutil_socket_t socket, std::uint32_t address);
  void remove(BalancerConnection& peer);
  void drain();
  bool take_backlog();
  void place(BalancerConnection& peer);
  bool make_room();
  void count(BalancerConnection& peer);
  void leave_list(BalancerConnection& peer);
  void sweep();
  void set_sweep();
  void watch(BalancerConnection& peer);
  void pace();
  void tell();
  std::unique_ptr<service::ServerRequest> request_of(CgiRequest& request, std::int64_t& client) const;
  // Parts of it. False where a field is missing or makes no sense.
  bool read_class_and_tenant(const CgiRequest& request, service::ServerRequest& out) const;
  bool read_times_and_costs(const CgiRequest& request, service::ServerRequest& out,
                            std::int64_t& client) const;
  bool read_key(const CgiRequest& request, service::ServerRequest& out) const;

  struct ListenerFreer {
    void operator()(evconnlistener* one) const { evconnlistener_free(one); }
  };

  Loop& loop_;
  service::Logger& log_;
  service::Service* service_ = nullptr;
  std::function<void()> finished_;
  std::unique_ptr<evconnlistener, ListenerFreer> listener_;
  Timer accept_again_;
  Timer sweep_;
  Timer pace_;
  Timer finish_;
  peers::SlowClientPolicy pacing_;  // before its peers, which leave it when they go
  std::list<std::unique_ptr<BalancerConnection>> peers_;
  std::list<BalancerConnection*> closing_;  // answered, and closed from here, longest so first
  std::list<BalancerConnection*> idle_;     // nothing open, longest idle first
  std::list<BalancerConnection*> begun_;    // none open, the first or a next one not whole, longest so first
  std::size_t max_connections_;
  Nanos idle_limit_ = 0;  // 0 = none
  bool finishing_ = false;
  bool handshakes_over_ = false;  // finishing, the backlog was emptied once with no new ones let in
  bool short_ = false;            // of room, so that slow callers are given less
  Nanos told_at_ = 0;
  std::uint64_t told_ = 0;  // ends told so far that peers brought on themselves
  std::uint64_t count_ = 0;
  std::uint64_t ended_[static_cast<std::size_t>(CloseReason::kDrained) + 1] = {};
};

}  // namespace myrtlecroft::net
