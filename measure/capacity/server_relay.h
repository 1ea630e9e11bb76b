// What a server's latency is set against: a relay in a process of its own that only passes bytes, and behind
// it a responder that answers every FastCGI request at once with the bytes that the server answers.
#pragma once

#include <cstdint>
#include <string>

#include "../../standin/no_log.h"
#include "control/frame_server.h"

namespace myrtlecroft::capacity {

// Bytes of the result that the stand-in engine and the responder give.
constexpr std::size_t kResultBytes = 1'000;

// Accepts connections on `listen` and opens one to `to` for each; what is read from one side, at most 64 KiB
// at once, is sent whole to the other side before anything else is read. One thread, no parsing, no timers,
// Nagle's algorithm off on both sides. Never returns.
[[noreturn]] void run_bare_relay(std::uint16_t listen, std::uint16_t to);

// Stands where the server's engine does: in the measuring process, one hop further than the relay.
class Responder {
 public:
  explicit Responder(net::Loop& loop);
  std::uint16_t port() const { return door_.port(); }

 private:
  static std::size_t bytes_received(net::Connection& connection, std::string_view bytes);

  standin::NullLogger log_;
  control::FrameServer door_;
};

}  // namespace myrtlecroft::capacity
