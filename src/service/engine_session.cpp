#include "service/engine_session.h"

#include <utility>

namespace myrtlecroft::service {

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
  request.delivery = Delivery::kUnsent;
  if (can_send()) send_first_copy(request);
}

void EngineSession::record_sent(ServerRequest& request) {
  request.delivery = Delivery::kSent;
  request.command_number = ++last_sent_number_;
  if (request.command == Command::kRun) request.notices_lost = false;  // its notices follow
}

void EngineSession::send_first_copy(ServerRequest& request) {
  record_sent(request);
  const RequestClass& request_class = *request.request_class;
  switch (request.command) {
    case Command::kRun:
      if (request_class.idempotency == Idempotency::kIdempotent)
        return link_.run(request.id, request_class.name, request.body);
      return link_.run(request.id, request_class.name, std::exchange(request.body, {}));
    case Command::kFeed:
      return link_.deliver_reply(request.id, std::exchange(request.payload, {}));
    case Command::kSkip:
      return link_.skip(request.id, request.call_notice);
    case Command::kNone:
      return;
  }
}

void EngineSession::send_again(ServerRequest& request, RepeatableCommand command) {
  record_sent(request);
  switch (command) {
    case RepeatableCommand::kIdempotentRun:
      return link_.run(request.id, request.request_class->name, request.body);
    case RepeatableCommand::kSkip:
      request.command = Command::kSkip;
      return link_.skip(request.id, request.call_notice);
  }
}

void EngineSession::forget(ServerRequest& request) {
  if (by_id_.erase(request.id)) std::erase(runs_, &request);
}

void EngineSession::request_gauges() {
  if (can_send()) link_.query_gauges(++last_sent_number_);
}

bool EngineSession::test() {
  if (!can_send()) return false;
  test_token_ = ++last_sent_number_;
  link_.test(test_token_);
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
    bool is_confirmed = request->command_number <= last_confirmed_number_;
    if (request->command != Command::kNone && request->delivery == Delivery::kSent && !is_confirmed)
      request->delivery = Delivery::kUnknown;
  }
  if (std::exchange(test_token_, 0)) events_.test_completed(false);
}

void EngineSession::hello(bool booting, Nanos age) {
  if (!std::exchange(hello_received_, true)) events_.engine_up(booting, age);
  backlog_end_token_ = ++last_sent_number_;
  link_.query_gauges(backlog_end_token_);
}

// A backlog may repeat notices that were read before; each notice is handled once.
void EngineSession::notice(const Notice& notice) {
  if (notice.number <= last_notice_) return;
  std::uint64_t lost = notice.number - last_notice_ - 1;
  last_notice_ = notice.number;
  if (lost > 0) record_lost_notices(lost);
  handle_notice(notice);
  if (lost > 0 && backlog_read_) end_answered_runs_in_doubt();
}

void EngineSession::handle_notice(const Notice& notice) {
  auto found = by_id_.find(notice.id);
  if (notice.kind == Notice::Kind::kNote || found == by_id_.end()) return;
  ServerRequest& request = *found->second;
  request.command = Command::kNone;
  request.notices_lost = false;
  if (notice.kind == Notice::Kind::kNeed) {
    request.call_notice = notice.number;
    request.payload = notice.payload;
    events_.run_needs_call(request);
  } else {
    events_.run_ended(request, notice.outcome, notice.payload);
  }
}

void EngineSession::record_lost_notices(std::uint64_t count) {
  int runs_in_doubt = 0;
  for (ServerRequest* request : runs_) {
    bool may_have_started = request->command != Command::kRun || request->delivery != Delivery::kUnsent;
    if (!may_have_started) continue;
    request->notices_lost = true;
    ++runs_in_doubt;
  }
  events_.notices_lost(count, runs_in_doubt);
}

void EngineSession::end_answered_runs_in_doubt() {
  for (const std::string& id : run_ids()) {
    auto found = by_id_.find(id);
    if (found == by_id_.end()) continue;
    ServerRequest& request = *found->second;
    if (request.answered && request.notices_lost) events_.run_ended(request, Outcome::kFailed, "");
  }
}

// The end of one run can end others, so callers look up each request again.
std::vector<std::string> EngineSession::run_ids() const {
  std::vector<std::string> ids;
  ids.reserve(runs_.size());
  for (const ServerRequest* request : runs_) ids.push_back(request->id);
  return ids;
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
  end_answered_runs_in_doubt();
  ResolvedCommands resolved;
  for (const std::string& id : run_ids()) {
    auto found = by_id_.find(id);
    if (found != by_id_.end()) resolve(*found->second, resolved);
  }
  if (resolved.total() > 0) events_.commands_resolved(resolved);
}

void EngineSession::resolve(ServerRequest& request, ResolvedCommands& resolved) {
  if (request.command == Command::kNone || request.delivery == Delivery::kSent) return;
  if (!can_send()) return;  // the new link broke meanwhile; the next one resolves the rest
  bool is_answered_run = request.answered && request.command == Command::kRun;
  if (request.delivery == Delivery::kUnsent) {
    if (is_answered_run) return events_.run_ended(request, Outcome::kIgnored, "");
    return send_first_copy(request);
  }
  if (std::optional<RepeatableCommand> command = repeatable_command(request)) {
    ++(request.command == Command::kFeed ? resolved.skipped : resolved.sent_again);
    return send_again(request, *command);
  }
  if (!is_answered_run) {
    ++resolved.pending;
    return;
  }
  ++resolved.ended;  // no notice and no deadline would end it
  events_.run_ended(request, Outcome::kFailed, "");
}

// What may be sent for a command in doubt, whether or not it arrived; nothing if no command is safe.
std::optional<EngineSession::RepeatableCommand> EngineSession::repeatable_command(
    const ServerRequest& request) {
  const RequestClass& request_class = *request.request_class;
  switch (request.command) {
    case Command::kRun:
      if (request_class.idempotency != Idempotency::kIdempotent) return std::nullopt;
      return RepeatableCommand::kIdempotentRun;
    case Command::kFeed:
      if (request_class.degraded_weight_share <= 0) return std::nullopt;
      return RepeatableCommand::kSkip;
    case Command::kSkip:
      return RepeatableCommand::kSkip;
    case Command::kNone:
      return std::nullopt;
  }
  return std::nullopt;
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
