// Stands between two processes and fails them: holds bytes back in one direction or both, makes them late,
// cuts in the middle of a frame, resets, and lets nobody through.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <deque>
#include <list>
#include <memory>

#include "net/loop.h"

namespace myrtlecroft::standin {

class Relay {
 public:
  // Listens on a port of its own on loopback, and leads to `to`, which need not be there yet.
  Relay(net::Loop& loop, std::uint16_t to);
  ~Relay();
  std::uint16_t port() const { return port_; }

  // Bytes wait where they are, as on a link that is dead and not yet known to be.
  void stall(bool there, bool back);
  void set_delay(Nanos by);  // each byte, both ways
  void close(bool closed);   // nobody gets through; who was through is reset
  void reset();
  void reset_after(std::size_t bytes);  // that go there: then a reset
  void clear_faults();
  std::size_t pairs() const { return pairs_.size(); }

 private:
  struct Pair;
  struct ListenerFreer {
    void operator()(evconnlistener* one) const { evconnlistener_free(one); }
  };
  static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  void drop(Pair* pair);

  net::Loop& loop_;
  std::uint16_t to_;
  std::uint16_t port_ = 0;
  bool stalled_[2] = {false, false};
  Nanos late_ = 0;
  bool closed_ = false;
  std::ptrdiff_t left_ = -1;  // bytes until the cut; below 0: none is wanted
  std::unique_ptr<evconnlistener, ListenerFreer> listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
};

}  // namespace myrtlecroft::standin
