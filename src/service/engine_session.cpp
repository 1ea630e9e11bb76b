#include "service/engine_session.h"

#include <utility>

namespace myrtlecroft::service {
namespace {

constexpr int kEnoughRuns = 20;  // of a group, for what is seen of its calls to count

}  // namespace

void EngineSession::run(ServerExchange& ex) {
  runs_.push_back(&ex);
  by_id_.emplace(ex.id, &ex);
  give(ex, Command::kRun);
}

void EngineSession::feed(ServerExchange& ex, std::string reply) {
  ex.payload = std::move(reply);
  give(ex, Command::kFeed);
}

void EngineSession::skip(ServerExchange& ex) { give(ex, Command::kSkip); }

void EngineSession::give(ServerExchange& ex, Command command) {
  ex.command = command;
  ex.sent = false;
  if (settled_) send(ex);
}

void EngineSession::send(ServerExchange& ex) {
  ex.sent = true;
  ex.in_doubt = false;
  ex.sent_as = ++sent_;
  switch (ex.command) {
    case Command::kRun:
      return link_.run(ex.id, ex.group->name, ex.body);
    case Command::kFeed:
      return link_.feed(ex.id, ex.payload);
    case Command::kSkip:
      return link_.skip(ex.id, ex.at_notice);
    case Command::kNone:
      return;
  }
}

void EngineSession::forget(ServerExchange& ex) {
  if (by_id_.erase(ex.id)) std::erase(runs_, &ex);
}

void EngineSession::ask_gauges() {
  if (settled_) link_.stat(++sent_);
}

bool EngineSession::test() {
  if (!settled_) return false;
  link_.test(testing_ = ++sent_);
  return true;
}

void EngineSession::pause() {
  settled_ = false;
  fence_ = 0;
  link_.stat(++sent_);
}

void EngineSession::lost() {
  settled_ = false;
  fence_ = 0;
  for (ServerExchange* ex : runs_) {
    ex->in_doubt |= ex->command != Command::kNone && ex->sent && ex->sent_as > confirmed_;
  }
  if (std::exchange(testing_, 0)) events_.tested(false);
}

void EngineSession::hello(bool booting, Nanos age) {
  if (!std::exchange(known_, true)) events_.engine_up(booting, age);
  link_.stat(fence_ = ++sent_);
}

// Notices of a backlog may overlap with what was read; each is taken once.
void EngineSession::notice(const Notice& notice) {
  if (notice.number <= last_notice_) return;
  last_notice_ = notice.number;
  auto place = by_id_.find(notice.id);
  if (notice.kind == Notice::Kind::kNote || place == by_id_.end()) return;
  ServerExchange& ex = *place->second;
  ex.command = Command::kNone;
  ex.in_doubt = false;
  if (notice.kind == Notice::Kind::kNeed) {
    ex.at_notice = notice.number;
    ex.payload = notice.payload;
    events_.run_needs_call(ex);
  } else {
    if (notice.outcome == Outcome::kOk || notice.outcome == Outcome::kFailed) calls_[ex.group].add(ex.calls);
    events_.run_ended(ex, notice.outcome, notice.payload);
  }
}

void EngineSession::stats(std::uint64_t token, const std::vector<double>& values) {
  if (token > confirmed_ && token <= sent_) confirmed_ = token;
  if (fence_ != 0 && token == fence_) settle();
  events_.gauges_came(values);
}

void EngineSession::tested(std::uint64_t token, bool good) {
  if (token != testing_ || testing_ == 0) return;
  testing_ = 0;
  events_.tested(good);
}

void EngineSession::settle() {
  fence_ = 0;
  settled_ = true;
  std::vector<ServerExchange*> runs = runs_;
  for (ServerExchange* ex : runs) {
    if (ex->command == Command::kNone) continue;
    if (!ex->sent && ex->command == Command::kRun && ex->answered) {
      events_.run_ended(*ex, Outcome::kIgnored, "");
    } else if (!ex->sent) {
      send(*ex);
    } else if (ex->in_doubt) {
      bool again = can_send_again(*ex);
      if (!again && ex->command == Command::kFeed && ex->group->skip_benefit > 0) {
        ex->command = Command::kSkip;  // it names its notice
        again = true;
      }
      if (again) {
        send(*ex);
      } else if (ex->answered && ex->command == Command::kRun) {  // nobody waits for it to end or fall due
        events_.run_ended(*ex, Outcome::kFailed, "");
      }
    }
  }
}

// Of what is in doubt.
bool EngineSession::can_send_again(const ServerExchange& ex) {
  const Calls& seen = calls_[ex.group];
  bool enough = seen.runs >= kEnoughRuns;
  switch (ex.command) {
    case Command::kRun:
      return ex.group->effect == Effect::kRepeatable || (enough && seen.fewest >= 1 && !ex.answered);
    case Command::kFeed:
      return enough && seen.most <= 1;
    default:
      return ex.command == Command::kSkip;
  }
}

// The engine does not know it: a run that was turned away so has not begun and never will. A site that allows
// no test leaves the report alone to answer checks.
void EngineSession::not_carried_out(std::string_view command, const std::string& id) {
  if (command == "TEST" && std::exchange(testing_, 0)) return events_.tested(true);
  auto place = by_id_.find(id);
  if (command != "RUN" || place == by_id_.end() || place->second->command != Command::kRun) return;
  place->second->unknown = true;
  events_.run_ended(*place->second, Outcome::kIgnored, "");
}

}  // namespace myrtlecroft::service
