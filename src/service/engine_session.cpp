#include "service/engine_session.h"

#include <utility>

namespace myrtlecroft::service {
namespace {

constexpr int kMinObservedRuns = 20;  // of a request class, before its observed calls are relied on

}  // namespace

void EngineSession::run(ServerRequest& request) {
  runs_.push_back(&request);
  by_id_.emplace(request.id, &request);
  issue_command(request, Command::kRun);
}

void EngineSession::deliver_reply(ServerRequest& request, std::string reply) {
  request.payload = std::move(reply);
  issue_command(request, Command::kFeed);
}

void EngineSession::skip(ServerRequest& request) { issue_command(request, Command::kSkip); }

void EngineSession::issue_command(ServerRequest& request, Command command) {
  request.command = command;
  request.sent = false;
  if (backlog_read_) send(request);
}

void EngineSession::send(ServerRequest& request) {
  request.sent = true;
  request.delivery_is_unknown = false;
  request.command_number = ++last_sent_number_;
  switch (request.command) {
    case Command::kRun:
      return link_.run(request.id, request.request_class->name, request.body);
    case Command::kFeed:
      return link_.deliver_reply(request.id, request.payload);
    case Command::kSkip:
      return link_.skip(request.id, request.call_notice);
    case Command::kNone:
      return;
  }
}

void EngineSession::forget(ServerRequest& request) {
  if (by_id_.erase(request.id)) std::erase(runs_, &request);
}

void EngineSession::request_gauges() {
  if (backlog_read_) link_.query_gauges(++last_sent_number_);
}

bool EngineSession::test() {
  if (!backlog_read_) return false;
  link_.test(test_token_ = ++last_sent_number_);
  return true;
}

void EngineSession::stop_sending() {
  backlog_read_ = false;
  backlog_end_token_ = 0;
  link_.query_gauges(++last_sent_number_);
}

void EngineSession::link_lost() {
  backlog_read_ = false;
  backlog_end_token_ = 0;
  for (ServerRequest* request : runs_) {
    request->delivery_is_unknown |= request->command != Command::kNone && request->sent &&
                                    request->command_number > last_confirmed_number_;
  }
  if (std::exchange(test_token_, 0)) events_.test_completed(false);
}

void EngineSession::hello(bool booting, Nanos age) {
  if (!std::exchange(hello_received_, true)) events_.engine_up(booting, age);
  link_.query_gauges(backlog_end_token_ = ++last_sent_number_);
}

// A backlog may repeat notices that were read before; each notice is handled once.
void EngineSession::notice(const Notice& notice) {
  if (notice.number <= last_notice_) return;
  last_notice_ = notice.number;
  auto found = by_id_.find(notice.id);
  if (notice.kind == Notice::Kind::kNote || found == by_id_.end()) return;
  ServerRequest& request = *found->second;
  request.command = Command::kNone;
  request.delivery_is_unknown = false;
  if (notice.kind == Notice::Kind::kNeed) {
    request.call_notice = notice.number;
    request.payload = notice.payload;
    events_.run_needs_call(request);
  } else {
    if (notice.outcome == Outcome::kOk || notice.outcome == Outcome::kFailed)
      observed_calls_[request.request_class].add(request.calls);
    events_.run_ended(request, notice.outcome, notice.payload);
  }
}

void EngineSession::stats(std::uint64_t token, const std::vector<double>& values) {
  if (token > last_confirmed_number_ && token <= last_sent_number_) last_confirmed_number_ = token;
  if (backlog_end_token_ != 0 && token == backlog_end_token_) resolve_pending_commands();
  events_.gauges_received(values);
}

void EngineSession::test_completed(std::uint64_t token, bool passed) {
  if (token != test_token_ || test_token_ == 0) return;
  test_token_ = 0;
  events_.test_completed(passed);
}

void EngineSession::resolve_pending_commands() {
  backlog_end_token_ = 0;
  backlog_read_ = true;
  std::vector<ServerRequest*> runs = runs_;
  for (ServerRequest* request : runs) {
    if (request->command == Command::kNone) continue;
    if (!request->sent && request->command == Command::kRun && request->answered) {
      events_.run_ended(*request, Outcome::kIgnored, "");
    } else if (!request->sent) {
      send(*request);
    } else if (request->delivery_is_unknown) {
      bool may_send_again = can_send_again(*request);
      if (!may_send_again && request->command == Command::kFeed &&
          request->request_class->degraded_weight_share > 0) {
        request->command = Command::kSkip;  // may be repeated, since it names its notice
        may_send_again = true;
      }
      if (may_send_again) {
        send(*request);
      } else if (request->answered &&
                 request->command == Command::kRun) {  // no notice and no deadline would end it
        events_.run_ended(*request, Outcome::kFailed, "");
      }
    }
  }
}

// Whether a command may be sent again although it may have arrived.
bool EngineSession::can_send_again(const ServerRequest& request) {
  const ObservedCalls& observed = observed_calls_[request.request_class];
  bool has_enough_runs = observed.runs >= kMinObservedRuns;
  switch (request.command) {
    case Command::kRun:
      return request.request_class->idempotency == Idempotency::kIdempotent ||
             (has_enough_runs && observed.min_calls >= 1 && !request.answered);
    case Command::kFeed:
      return has_enough_runs && observed.max_calls <= 1;
    default:
      return request.command == Command::kSkip;
  }
}

// The engine ignored the command. A run that it does not know has not started and never will. A deployment
// whose engine allows no self-tests passes them, so that the reported health alone decides its health checks.
void EngineSession::command_ignored(std::string_view command, const std::string& id) {
  if (command == "TEST" && std::exchange(test_token_, 0)) return events_.test_completed(true);
  auto found = by_id_.find(id);
  if (command != "RUN" || found == by_id_.end() || found->second->command != Command::kRun) return;
  found->second->unknown_to_engine = true;
  events_.run_ended(*found->second, Outcome::kIgnored, "");
}

}  // namespace myrtlecroft::service
