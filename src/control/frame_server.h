// A listening TCP address with a bound on its connections. Made by the control service for servers' reports
// and for operators, and by stand-ins; used on the loop's thread. Owns the listener and its sessions.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/connection.h"

namespace myrtlecroft::control {

class FrameServer {
 public:
  using Id = std::uint64_t;  // of a session; never used again by the same FrameServer
  // Called on the loop's thread.
  struct Handlers {
    // Returns how many of the bytes it consumed; the rest is passed again with what follows. May end the
    // connection.
    std::function<std::size_t(Id, net::Connection&, std::string_view)> received;
    std::function<void(Id)> closed = [](Id) {};
  };
  // `peer_kind` names the connections in log lines. Above `max_connections` a new connection is closed at
  // once. Throws ListenError.
  FrameServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address, std::string peer_kind,
              std::size_t max_connections, Handlers handlers);
  ~FrameServer();
  std::uint16_t port() const;

 private:
  class Session;
  static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void accept_failed(evconnlistener*, void* self);
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
  net::Timer resume_accepting_;
  std::map<Id, std::unique_ptr<Session>> sessions_;
  Id last_id_ = 0;
};

}  // namespace myrtlecroft::control
