// The link to the engine on this machine. Comes back by itself; what a break leaves open is EngineSession's.
#pragma once

#include <memory>

#include "net/connection.h"
#include "net/engine_codec.h"
#include "service/engine_session.h"

namespace myrtlecroft::net {

class EngineClient final : public service::Engine, public ConnectionOwner {
 public:
  static constexpr Nanos kSilence = 3'000 * kMs;

  // Commands that the engine does not take wait here, `max_unsent` bytes of them; then the link is ended,
  // and attached again it is told anew what it doesn't know. A link on which nothing comes for `silence` is
  // given up and made anew: gauges are asked for at every beat, and before its HELLO a new link costs
  // nothing.
  EngineClient(Loop& loop, service::Logger& log, const sockaddr_in& engine,
               std::size_t max_unsent = Connection::kMaxUnsentBelow, Nanos silence = kSilence);
  void begin(service::EngineSession& session);
  // The engine is to be reached elsewhere from now on. The old link stays until the new one is open and all
  // that was sent on the old is known to have arrived.
  void move(const sockaddr_in& engine);

  void attach(std::uint64_t last_notice) override { send(attach_line(last_notice)); }
  void run(std::string_view id, std::string_view request_class, std::string_view body) override {
    send(run_line(id, request_class, body));
  }
  void deliver_reply(std::string_view id, std::string_view reply) override { send(feed_line(id, reply)); }
  void skip(std::string_view id, std::uint64_t notice) override { send(skip_line(id, notice)); }
  void query_gauges(std::uint64_t token) override { send(stat_line(token)); }
  void test(std::uint64_t token) override { send(test_line(token)); }

  void opened(Connection&) override;
  std::size_t bytes_received(Connection&, std::string_view bytes) override;
  void ended(Connection&, CloseReason) override;

 private:
  void connect();
  void hand_over();
  void heard() { silent_.set(silence_); }
  void fell_silent();
  bool take(std::string_view line);  // false: not a line of the protocol
  void send(const std::string& line);

  Loop& loop_;
  service::Logger& log_;
  sockaddr_in engine_;
  std::size_t max_unsent_;
  service::EngineSession* session_ = nullptr;
  std::unique_ptr<Connection> connection_;
  std::unique_ptr<Connection> next_;  // to where the engine has moved
  std::unique_ptr<Connection> old_;   // left behind, about to end
  Timer again_;
  Timer hand_over_;
  Timer silent_;
  Nanos silence_;
  Nanos wait_;
  bool paused_ = false;          // nothing is sent until the new link takes over
  bool skipping_ = false;        // within a line that is too long to keep
  std::uint64_t bad_after_ = 0;  // 1 + the notice after which a line could not be read
};

}  // namespace myrtlecroft::net
