// A TCP relay between two processes that injects link faults: stalls one or both directions, delays bytes,
// resets connections, also in the middle of a frame, and refuses new ones.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <deque>
#include <list>
#include <memory>

#include "net/loop.h"

namespace myrtlecroft::standin {

// Runs on the loop's thread.
class Relay {
 public:
  // Listens on its own loopback port and connects to port `to`, where nothing need listen yet. Throws
  // std::runtime_error if it can't listen.
  Relay(net::Loop& loop, std::uint16_t to);
  ~Relay();
  std::uint16_t port() const { return port_; }

  // Stops forwarding bytes without closing connections, as on a dead link that has not been detected yet.
  void stall(bool outward, bool inward);
  void set_delay(Nanos delay);  // delays each byte, in both directions
  void close(bool closed);      // resets all connections, and closes new ones at once
  void reset();
  void reset_after(std::size_t bytes);  // resets the connection that carries the last of them, once
  void clear_faults();
  std::size_t pairs() const { return pairs_.size(); }

 private:
  struct Pair;
  struct ListenerFreer {
    void operator()(evconnlistener* one) const { evconnlistener_free(one); }
  };
  static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  void remove(Pair* pair);

  net::Loop& loop_;
  std::uint16_t target_port_;
  std::uint16_t port_ = 0;
  bool stalled_[2] = {false, false};
  Nanos delay_ = 0;
  bool closed_ = false;
  std::ptrdiff_t bytes_until_reset_ = -1;  // outward bytes until the reset; negative: no reset
  std::unique_ptr<evconnlistener, ListenerFreer> listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
};

}  // namespace myrtlecroft::standin
