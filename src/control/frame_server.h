// A listening address and the connections that came to it, with a bound on how many.
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
  using Id = std::uint64_t;
  struct Events {
    // Says how many of the bytes were taken, and may end the connection.
    std::function<std::size_t(Id, net::Connection&, std::string_view)> came;
    std::function<void(Id)> ended = [](Id) {};
  };
  // Beyond `most` connections a new one is closed at once. Throws std::runtime_error where the address can't
  // be had.
  FrameServer(net::Loop& loop, service::Logger& log, const sockaddr_in& listen, std::string what,
              std::size_t max, Events events);
  ~FrameServer();
  std::uint16_t port() const;

 private:
  class Session;
  static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void accept_failed(evconnlistener*, void* self);
  void add(evutil_socket_t socket);

  struct ListenerFreer {
    void operator()(evconnlistener* one) const { evconnlistener_free(one); }
  };

  net::Loop& loop_;
  service::Logger& log_;
  std::string what_;
  std::size_t max_;
  Events events_;
  std::unique_ptr<evconnlistener, ListenerFreer> listener_;
  net::Timer accept_again_;
  std::map<Id, std::unique_ptr<Session>> sessions_;
  Id last_ = 0;
};

}  // namespace myrtlecroft::control
