// A TCP server with a limit on its number of connections. Created by the control service for servers' reports
// and for the admin interface, and by stand-ins. Used on the loop's thread. Owns the listener and the
// sessions.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/connection.h"

namespace myrtlecroft::control {

// Accepts connections and passes their bytes to the handlers.
class FrameServer {
 public:
  using Id = std::uint64_t;  // of a session; never reused by the same FrameServer
  // Called on the loop's thread.
  struct Handlers {
    // Returns how many of the bytes it consumed. The rest is passed again with the bytes that follow. May
    // end the connection.
    std::function<std::size_t(Id, net::Connection&, std::string_view)> received;
    std::function<void(Id)> closed = [](Id) {};
  };
  // `peer_kind` names the connections in log lines ("reporter"). A new connection above `max_connections` is
  // closed at once. Throws ListenError.
  FrameServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address, std::string peer_kind,
              std::size_t max_connections, Handlers handlers);
  ~FrameServer();
  // The port listened on, also if the address left the choice to the system.
  std::uint16_t port() const;

 private:
  class Session;
  static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void on_accept_error(evconnlistener*, void* self);
  void add_session(evutil_socket_t socket);

  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };

  net::Loop& loop_;
  service::Logger& log_;
  std::string peer_kind_;
  std::size_t max_connections_;
  Handlers handlers_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  net::Timer accept_retry_timer_;
  std::map<Id, std::unique_ptr<Session>> sessions_;
  Id last_id_ = 0;
};

}  // namespace myrtlecroft::control
