#include "net/engine_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/address.h"
#include "net/base64.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kFirstWait = 10 * kMs;
constexpr Nanos kLongestWait = 200 * kMs;
constexpr Nanos kHandOver = 100 * kMs;  // at most, for what was sent on the old link to be seen
constexpr std::size_t kLongestLine = std::size_t{1} << 20;

std::uint64_t token_of(const EngineLine& line) {
  std::uint64_t token = 0;
  std::from_chars(line.token.data(), line.token.data() + line.token.size(), token);
  return token;
}

bool outcome_of(const std::string& word, Outcome& out) {
  constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {{"success", Outcome::kOk},
                                                                {"failure", Outcome::kFailed},
                                                                {"interrupted", Outcome::kCanceled},
                                                                {"nothing", Outcome::kIgnored}};
  for (const auto& [name, outcome] : kOutcomes) {
    if (name != word) continue;
    out = outcome;
    return true;
  }
  return false;
}

}  // namespace

EngineClient::EngineClient(Loop& loop, service::Logger& log, const sockaddr_in& engine,
                           std::size_t max_unsent, Nanos silence)
    : loop_(loop),
      log_(log),
      engine_(engine),
      max_unsent_(max_unsent),
      again_(loop.base(), [this] { connect(); }),
      hand_over_(loop.base(), [this] { hand_over(); }),
      silent_(loop.base(), [this] { fell_silent(); }),
      silence_(silence),
      wait_(kFirstWait) {}

void EngineClient::begin(service::EngineSession& session) {
  session_ = &session;
  connect();
}

// With a link up, the engine has moved: the new link waits beside it.
void EngineClient::connect() {
  (connection_ ? next_ : connection_) =
      std::make_unique<Connection>(loop_.base(), engine_, *this, log_, "engine link", max_unsent_);
  heard();
}

// Guards against a link that stays open and carries nothing any more, which no reset ever ends. After a pause
// of this process what came meanwhile still waits to be read. Harm: of an engine that stands still for
// longer, the commands it had not read are in doubt.
void EngineClient::fell_silent() {
  if (connection_ && connection_->was_open() && connection_->unread()) return heard();
  if (connection_) connection_->end(CloseReason::kSilent);
}

void EngineClient::move(const sockaddr_in& engine) {
  if (same_address(engine, engine_)) return;
  engine_ = engine;
  next_.reset();
  again_.clear();
  if (connection_ && !connection_->was_open()) connection_.reset();
  connect();
}

void EngineClient::hand_over() {
  if (!next_ || !next_->was_open() || next_->closing()) return;
  hand_over_.clear();
  paused_ = false;
  old_ = std::exchange(connection_, std::move(next_));
  heard();
  old_->end(CloseReason::kMoved);
  session_->link_lost();
  opened(*connection_);
}

void EngineClient::send(const std::string& line) {
  if (connection_) connection_->write(line);
}

void EngineClient::opened(Connection& connection) {
  if (&connection == next_.get()) {
    hand_over_.set(kHandOver);
    paused_ = true;
    session_->pause();
    return;
  }
  skipping_ = false;
  session_->link_established();
}

void EngineClient::ended(Connection& connection, CloseReason) {
  if (&connection == old_.get()) return old_.reset();
  if (&connection == next_.get()) {
    next_.reset();
    if (paused_) connection_->end(CloseReason::kMoved);  // it can't be taken up again
    again_.set(wait_);
    return;
  }
  connection_ = std::move(next_);
  paused_ = false;
  session_->link_lost();
  if (connection_) {
    if (connection_->was_open() && !connection_->closing()) opened(*connection_);
    return;
  }
  again_.set(wait_);
  wait_ = std::min(2 * wait_, kLongestWait);
}

std::size_t EngineClient::bytes_received(Connection& connection, std::string_view bytes) {
  if (&connection == connection_.get()) heard();
  std::size_t taken = 0;
  while (!connection.closing()) {
    std::size_t end = bytes.find('\n', taken);
    if (end == std::string_view::npos) break;
    std::string_view line = bytes.substr(taken, end - taken);
    taken = end + 1;
    if (std::exchange(skipping_, false)) continue;
    if (take(line)) continue;
    // Attached again it comes again, whole if only the bytes were broken. If not, it is left out.
    log_.write_rate_limited("engine line malformed, " + std::to_string(line.size()) + " bytes");
    if (std::exchange(bad_after_, session_->last_notice() + 1) == session_->last_notice() + 1) continue;
    connection.end(CloseReason::kMalformed);
  }
  if (paused_ && session_->all_commands_confirmed()) hand_over();
  if (connection.closing()) return bytes.size();
  if (bytes.size() - taken > kLongestLine) {
    log_.write_rate_limited("engine line too long, left out");
    skipping_ = true;
    taken = bytes.size();
  }
  return taken;
}

bool EngineClient::take(std::string_view text) {
  std::optional<EngineLine> line = read_engine_line(text);
  if (!line) return false;
  if (line->cmd == "HELLO") {
    wait_ = kFirstWait;
    session_->hello(line->result == "booting",
                    static_cast<Nanos>(std::clamp(line->elapsed_ms, 0.0, 1e9)) * kMs);
  } else if (line->cmd == "STATS") {
    session_->stats(token_of(*line), line->load);
  } else if (line->cmd == "TESTED") {
    session_->test_completed(token_of(*line), line->result == "success");
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
    if (notice.kind == Kind::kDone && !outcome_of(line->result, notice.outcome)) return false;
    notice.payload = std::move(*payload);
    session_->notice(notice);
  }
  return true;  // a word that is not known is nothing to us
}

}  // namespace myrtlecroft::net
