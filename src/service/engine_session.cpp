#include "service/engine_session.h"

#include <utility>

namespace myrtlecroft::service {
namespace {

constexpr int kEnoughRuns = 20;  // of a group, for what is seen of its calls to count

}  // namespace

void EngineSession::run(ServerRequest& request) {
  runs_.push_back(&request);
  by_id_.emplace(request.id, &request);
  give(request, Command::kRun);
}

void EngineSession::deliver_reply(ServerRequest& request, std::string reply) {
  request.payload = std::move(reply);
  give(request, Command::kFeed);
}

void EngineSession::skip(ServerRequest& request) { give(request, Command::kSkip); }

void EngineSession::give(ServerRequest& request, Command command) {
  request.command = command;
  request.sent = false;
  if (settled_) send(request);
}

void EngineSession::send(ServerRequest& request) {
  request.sent = true;
  request.in_doubt = false;
  request.sent_as = ++sent_;
  switch (request.command) {
    case Command::kRun:
      return link_.run(request.id, request.request_class->name, request.body);
    case Command::kFeed:
      return link_.deliver_reply(request.id, request.payload);
    case Command::kSkip:
      return link_.skip(request.id, request.at_notice);
    case Command::kNone:
      return;
  }
}

void EngineSession::forget(ServerRequest& request) {
  if (by_id_.erase(request.id)) std::erase(runs_, &request);
}

void EngineSession::request_gauges() {
  if (settled_) link_.query_gauges(++sent_);
}

bool EngineSession::test() {
  if (!settled_) return false;
  link_.test(testing_ = ++sent_);
  return true;
}

void EngineSession::pause() {
  settled_ = false;
  fence_ = 0;
  link_.query_gauges(++sent_);
}

void EngineSession::link_lost() {
  settled_ = false;
  fence_ = 0;
  for (ServerRequest* request : runs_) {
    request->in_doubt |= request->command != Command::kNone && request->sent && request->sent_as > confirmed_;
  }
  if (std::exchange(testing_, 0)) events_.test_completed(false);
}

void EngineSession::hello(bool booting, Nanos age) {
  if (!std::exchange(known_, true)) events_.engine_up(booting, age);
  link_.query_gauges(fence_ = ++sent_);
}

// Notices of a backlog may overlap with what was read; each is taken once.
void EngineSession::notice(const Notice& notice) {
  if (notice.number <= last_notice_) return;
  last_notice_ = notice.number;
  auto place = by_id_.find(notice.id);
  if (notice.kind == Notice::Kind::kNote || place == by_id_.end()) return;
  ServerRequest& request = *place->second;
  request.command = Command::kNone;
  request.in_doubt = false;
  if (notice.kind == Notice::Kind::kNeed) {
    request.at_notice = notice.number;
    request.payload = notice.payload;
    events_.run_needs_call(request);
  } else {
    if (notice.outcome == Outcome::kOk || notice.outcome == Outcome::kFailed)
      calls_[request.request_class].add(request.calls);
    events_.run_ended(request, notice.outcome, notice.payload);
  }
}

void EngineSession::stats(std::uint64_t token, const std::vector<double>& values) {
  if (token > confirmed_ && token <= sent_) confirmed_ = token;
  if (fence_ != 0 && token == fence_) settle();
  events_.gauges_received(values);
}

void EngineSession::test_completed(std::uint64_t token, bool good) {
  if (token != testing_ || testing_ == 0) return;
  testing_ = 0;
  events_.test_completed(good);
}

void EngineSession::settle() {
  fence_ = 0;
  settled_ = true;
  std::vector<ServerRequest*> runs = runs_;
  for (ServerRequest* request : runs) {
    if (request->command == Command::kNone) continue;
    if (!request->sent && request->command == Command::kRun && request->answered) {
      events_.run_ended(*request, Outcome::kIgnored, "");
    } else if (!request->sent) {
      send(*request);
    } else if (request->in_doubt) {
      bool again = can_send_again(*request);
      if (!again && request->command == Command::kFeed && request->request_class->degraded_weight_share > 0) {
        request->command = Command::kSkip;  // it names its notice
        again = true;
      }
      if (again) {
        send(*request);
      } else if (request->answered &&
                 request->command == Command::kRun) {  // nobody waits for it to end or fall due
        events_.run_ended(*request, Outcome::kFailed, "");
      }
    }
  }
}

// Of what is in doubt.
bool EngineSession::can_send_again(const ServerRequest& request) {
  const Calls& seen = calls_[request.request_class];
  bool enough = seen.runs >= kEnoughRuns;
  switch (request.command) {
    case Command::kRun:
      return request.request_class->idempotency == Idempotency::kIdempotent ||
             (enough && seen.fewest >= 1 && !request.answered);
    case Command::kFeed:
      return enough && seen.max <= 1;
    default:
      return request.command == Command::kSkip;
  }
}

// The engine does not know it: a run that was rejected so has not begun and never will. A site that allows
// no test leaves the report alone to answer checks.
void EngineSession::command_ignored(std::string_view command, const std::string& id) {
  if (command == "TEST" && std::exchange(testing_, 0)) return events_.test_completed(true);
  auto place = by_id_.find(id);
  if (command != "RUN" || place == by_id_.end() || place->second->command != Command::kRun) return;
  place->second->unknown_to_engine = true;
  events_.run_ended(*place->second, Outcome::kIgnored, "");
}

}  // namespace myrtlecroft::service
