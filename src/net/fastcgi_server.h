// FastCGI server for balancers: their connections, requests, answers and health checks.
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

// Belongs to the loop's thread.
class FastCgiServer final : public service::Listener {
 public:
  // Binds the address; connections are accepted after serve(). `max_connections` and `max_bytes` (for all
  // connections together) are approximate limits. Throws std::runtime_error when the address can't be bound.
  FastCgiServer(Loop& loop, service::Logger& log, const sockaddr_in& listen, std::size_t max_connections,
                std::size_t max_bytes, const peers::SlowClientOptions& config = {});
  ~FastCgiServer() override;
  // Calls `on_finished` once, after stop_accepting(), when no connection is left and none waits to be
  // accepted.
  void serve(service::Service& service, std::function<void()> on_finished);
  std::size_t connections() const { return connections_.size(); }
  peers::SlowClientPolicy& slow_client_policy() { return slow_client_policy_; }
  // Number of connections that ended for that reason so far.
  std::uint64_t ended(CloseReason reason) const { return ended_counts_[static_cast<std::size_t>(reason)]; }

  void close_idle(Nanos after) override;
  void stop_accepting() override;

 private:
  class BalancerConnection;
  struct OpenRequest;

  static void connection_accepted(evconnlistener*, evutil_socket_t socket, sockaddr* from, int size,
                                  void* self);
  static void accept_failed(evconnlistener*, void* context);
  void add_connection(evutil_socket_t socket, std::uint32_t address);
  void remove_connection(BalancerConnection& peer);
  void drain_backlog();
  bool accept_backlog();
  void update_list_membership(BalancerConnection& peer);
  bool evict_connection();
  void evict(BalancerConnection& peer);
  void update_memory_use(BalancerConnection& peer);
  void remove_from_list(BalancerConnection& peer);
  void close_idle_connections();
  void schedule_sweep();
  void schedule_slow_client_check(BalancerConnection& peer);
  void evaluate_slow_clients();
  void log_slow_client_summary();
  std::unique_ptr<service::ServerRequest> parse_request(FastCgiRequest& request,
                                                        std::int64_t& client_number) const;
  // Parts of parse_request(). Return false when a parameter is missing or invalid.
  bool read_class_and_tenant(const FastCgiRequest& request, service::ServerRequest& out) const;
  bool read_times_and_costs(const FastCgiRequest& request, service::ServerRequest& out,
                            std::int64_t& client_number) const;
  bool read_key(const FastCgiRequest& request, service::ServerRequest& out) const;

  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };

  Loop& loop_;
  service::Logger& log_;
  service::Service* service_ = nullptr;
  std::function<void()> on_finished_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  Timer accept_timer_;
  Timer sweep_timer_;
  Timer slow_client_timer_;
  Timer finished_timer_;
  peers::SlowClientPolicy slow_client_policy_;  // before connections_: their destructors use it
  std::list<std::unique_ptr<BalancerConnection>> connections_;
  std::list<BalancerConnection*> closing_connections_;  // closing on this side, the longest first
  std::list<BalancerConnection*> idle_connections_;     // without an open request, the longest idle first
  // Without an open request, awaiting the rest of a request or the first one, the longest first.
  std::list<BalancerConnection*> unfinished_connections_;
  std::size_t max_connections_;
  Nanos idle_limit_ = 0;  // 0: idle connections stay open
  bool finishing_ = false;
  bool handshakes_finished_ = false;  // the backlog was emptied once after new handshakes were refused
  bool under_pressure_ = false;       // memory or connections are short, and slow clients get less time
  Nanos last_summary_at_ = 0;
  std::uint64_t summarized_ends_ = 0;  // ended as slow, unread or crowded at the last summary
  std::uint64_t accepted_count_ = 0;
  std::uint64_t ended_counts_[static_cast<std::size_t>(CloseReason::kDrained) + 1] = {};
};

}  // namespace myrtlecroft::net
