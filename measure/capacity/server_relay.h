// The baseline for a server's latency: a relay in its own process that only forwards bytes, and behind it a
// responder that answers every FastCGI request at once with an answer as long as the server's.
#pragma once

#include <cstdint>
#include <string>

#include "../../standin/no_log.h"
#include "control/frame_server.h"

namespace myrtlecroft::capacity {

// Bytes of the result that the stand-in engine and the responder return.
constexpr std::size_t kResultBytes = 1'000;

// Accepts connections on the loopback port `listen` and opens one to port `to` for each. Each read, of at
// most 64 KiB, is sent completely to the other side before the next read. One thread, no parsing, no timers,
// Nagle's algorithm off on both sides. Never returns; ends the process when it can't listen or connect.
[[noreturn]] void run_bare_relay(std::uint16_t listen, std::uint16_t to);

// Takes the place of the server's engine: it runs in the measuring process, one hop behind the relay.
class Responder {
 public:
  explicit Responder(net::Loop& loop);
  std::uint16_t port() const { return server_.port(); }

 private:
  static std::size_t bytes_received(net::Connection& connection, std::string_view bytes);

  standin::NullLogger log_;
  control::FrameServer server_;
};

}  // namespace myrtlecroft::capacity
