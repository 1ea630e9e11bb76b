#include "net/engine_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/address.h"
#include "net/base64.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kMinReconnectDelay = 10 * kMs;
constexpr Nanos kMaxReconnectDelay = 200 * kMs;
constexpr Nanos kHandOverTimeout = 100 * kMs;  // for the commands on the old link to be confirmed
constexpr std::size_t kMaxLineBytes = std::size_t{1} << 20;

std::uint64_t parse_token(const EngineLine& line) {
  std::uint64_t token = 0;
  std::from_chars(line.token.data(), line.token.data() + line.token.size(), token);
  return token;
}

bool parse_outcome(const std::string& text, Outcome& out) {
  constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {{"success", Outcome::kOk},
                                                                {"failure", Outcome::kFailed},
                                                                {"interrupted", Outcome::kCanceled},
                                                                {"nothing", Outcome::kIgnored}};
  for (const auto& [name, outcome] : kOutcomes) {
    if (name != text) continue;
    out = outcome;
    return true;
  }
  return false;
}

}  // namespace

EngineClient::EngineClient(Loop& loop, service::Logger& log, const sockaddr_in& engine,
                           std::size_t max_unsent, Nanos silence_timeout)
    : loop_(loop),
      log_(log),
      engine_(engine),
      max_unsent_(max_unsent),
      reconnect_timer_(loop.base(), [this] { connect(); }),
      hand_over_timer_(loop.base(), [this] { hand_over(); }),
      silence_timer_(loop.base(), [this] { handle_silence(); }),
      silence_timeout_(silence_timeout),
      reconnect_delay_(kMinReconnectDelay) {}

void EngineClient::begin(service::EngineSession& session) {
  session_ = &session;
  connect();
}

// If a link is up, the engine has a new address: the new link is opened beside the old one.
void EngineClient::connect() {
  (connection_ ? next_connection_ : connection_) =
      std::make_unique<Connection>(loop_.base(), engine_, *this, log_, "engine link", max_unsent_);
  restart_silence_timer();
}

// Ends a link that is still open but carries no data any more and that no reset will end. Unread input keeps
// the link: after a pause of this process, input from the meantime still waits. The cost: when an engine
// hangs for longer than the timeout, the commands that it had not read are in doubt.
void EngineClient::handle_silence() {
  if (connection_ && connection_->was_open() && connection_->has_unread_input())
    return restart_silence_timer();
  if (connection_) connection_->end(CloseReason::kSilent);
}

void EngineClient::move(const sockaddr_in& engine) {
  if (same_address(engine, engine_)) return;
  engine_ = engine;
  next_connection_.reset();
  reconnect_timer_.clear();
  if (connection_ && !connection_->was_open()) connection_.reset();
  connect();
}

void EngineClient::hand_over() {
  if (!next_connection_ || !next_connection_->was_open() || next_connection_->closing()) return;
  hand_over_timer_.clear();
  sending_paused_ = false;
  old_connection_ = std::exchange(connection_, std::move(next_connection_));
  restart_silence_timer();
  old_connection_->end(CloseReason::kMoved);
  session_->link_lost();
  opened(*connection_);
}

void EngineClient::send(const std::string& line) {
  if (connection_) connection_->write(line);
}

void EngineClient::opened(Connection& connection) {
  if (&connection == next_connection_.get()) {
    hand_over_timer_.set(kHandOverTimeout);
    sending_paused_ = true;
    session_->stop_sending();
    return;
  }
  skipping_line_ = false;
  session_->link_established();
}

void EngineClient::ended(Connection& connection, CloseReason) {
  if (&connection == old_connection_.get()) return old_connection_.reset();
  if (&connection == next_connection_.get()) {
    next_connection_.reset();
    if (sending_paused_) connection_->end(CloseReason::kMoved);  // it can't resume sending
    reconnect_timer_.set(reconnect_delay_);
    return;
  }
  connection_ = std::move(next_connection_);
  sending_paused_ = false;
  session_->link_lost();
  if (connection_) {
    if (connection_->was_open() && !connection_->closing()) opened(*connection_);
    return;
  }
  reconnect_timer_.set(reconnect_delay_);
  reconnect_delay_ = std::min(2 * reconnect_delay_, kMaxReconnectDelay);
}

std::size_t EngineClient::bytes_received(Connection& connection, std::string_view bytes) {
  if (&connection == connection_.get()) restart_silence_timer();
  std::size_t consumed = 0;
  while (!connection.closing()) {
    std::size_t end = bytes.find('\n', consumed);
    if (end == std::string_view::npos) break;
    std::string_view line = bytes.substr(consumed, end - consumed);
    consumed = end + 1;
    if (std::exchange(skipping_line_, false)) continue;
    if (handle_line(line)) continue;
    // After the next attach the engine sends the line again, intact if only its bytes were damaged. A line
    // that is malformed again is skipped.
    log_.write_rate_limited("engine line malformed, " + std::to_string(line.size()) + " bytes");
    if (std::exchange(malformed_after_, session_->last_notice() + 1) == session_->last_notice() + 1) continue;
    connection.end(CloseReason::kMalformed);
  }
  if (sending_paused_ && session_->all_commands_confirmed()) hand_over();
  if (connection.closing()) return bytes.size();
  if (bytes.size() - consumed > kMaxLineBytes) {
    log_.write_rate_limited("engine line too long, left out");
    skipping_line_ = true;
    consumed = bytes.size();
  }
  return consumed;
}

bool EngineClient::handle_line(std::string_view text) {
  std::optional<EngineLine> line = read_engine_line(text);
  if (!line) return false;
  if (line->cmd == "HELLO") {
    reconnect_delay_ = kMinReconnectDelay;
    session_->hello(line->result == "booting",
                    static_cast<Nanos>(std::clamp(line->elapsed_ms, 0.0, 1e9)) * kMs);
  } else if (line->cmd == "STATS") {
    session_->stats(parse_token(*line), line->load);
  } else if (line->cmd == "TESTED") {
    session_->test_completed(parse_token(*line), line->result == "success");
  } else if (line->cmd == "NO") {
    log_.write_rate_limited("engine did not carry out " + line->result.substr(0, 20) + " of " +
                            line->req.substr(0, 20));
    session_->command_ignored(line->result, line->req);
  } else if (line->cmd == "DONE" || line->cmd == "NEED" || line->cmd == "NOTE") {
    using Kind = service::Notice::Kind;
    service::Notice notice;
    notice.kind = line->cmd == "DONE" ? Kind::kDone : line->cmd == "NEED" ? Kind::kNeed : Kind::kNote;
    notice.number = line->offset;
    notice.id = std::move(line->req);
    std::optional<std::string> payload = from_base64(line->payload);
    if (notice.number == 0 || !payload) return false;
    if (notice.kind == Kind::kDone && !parse_outcome(line->result, notice.outcome)) return false;
    notice.payload = std::move(*payload);
    session_->notice(notice);
  }
  return true;  // unknown commands are ignored
}

}  // namespace myrtlecroft::net
