// Connection to the engine on this machine. It reconnects by itself; EngineSession resolves the runs and
// replies that a lost connection leaves in doubt.
#pragma once

#include <memory>

#include "net/connection.h"
#include "net/engine_codec.h"
#include "service/engine_session.h"

namespace myrtlecroft::net {

// Belongs to the loop's thread.
class EngineClient final : public service::Engine, public ConnectionOwner {
 public:
  static constexpr Nanos kSilenceTimeout = 3'000 * kMs;

  // Up to `max_unsent` bytes of commands wait for the engine to read them. Beyond that the link ends, and
  // EngineSession resolves the commands whose arrival is unknown. A link that receives
  // nothing for `silence_timeout` is closed and connected anew: gauges are queried at every tick, so a
  // working engine is never silent for so long, and giving up a new link before its HELLO costs nothing.
  EngineClient(Loop& loop, service::Logger& log, const sockaddr_in& engine,
               std::size_t max_unsent = Connection::kMaxUnsentOutgoing,
               Nanos silence_timeout = kSilenceTimeout);
  // Connects, and passes what the engine sends to `session`.
  void begin(service::EngineSession& session);
  // Sets a new address of the engine. The old link stays until the new one is established and all commands
  // sent on the old one are confirmed, or until a short timeout.
  void move(const sockaddr_in& engine);

  bool is_open() const override { return connection_ && connection_->was_open() && !connection_->closing(); }
  void attach(std::uint64_t last_notice) override { send(encode_attach(last_notice)); }
  void run(std::string_view id, std::string_view request_class, std::string_view body) override {
    send(encode_run(id, request_class, body));
  }
  void deliver_reply(std::string_view id, std::string_view reply) override { send(encode_feed(id, reply)); }
  void skip(std::string_view id, std::uint64_t notice) override { send(encode_skip(id, notice)); }
  void query_gauges(std::uint64_t token) override { send(encode_stat(token)); }
  void test(std::uint64_t token) override { send(encode_test(token)); }

  void opened(Connection&) override;
  std::size_t bytes_received(Connection&, std::string_view bytes) override;
  void ended(Connection&, CloseReason) override;

 private:
  void connect();
  void hand_over();
  void restart_silence_timer() { silence_timer_.set(silence_timeout_); }
  void handle_silence();
  bool handle_line(std::string_view line);  // returns false for a malformed line
  void send(const std::string& line);

  Loop& loop_;
  service::Logger& log_;
  sockaddr_in engine_;
  std::size_t max_unsent_;
  service::EngineSession* session_ = nullptr;
  std::unique_ptr<Connection> connection_;
  std::unique_ptr<Connection> next_connection_;  // to the engine's new address
  std::unique_ptr<Connection> old_connection_;   // to the former address, about to end
  Timer reconnect_timer_;
  Timer hand_over_timer_;
  Timer silence_timer_;
  Nanos silence_timeout_;
  Nanos reconnect_delay_;
  bool sending_paused_ = false;        // nothing is sent until the new link replaces the old one
  bool skipping_line_ = false;         // discards the rest of a line that exceeds the limit
  std::uint64_t malformed_after_ = 0;  // 1 + the last notice before the latest malformed line; 0: none
};

}  // namespace myrtlecroft::net
