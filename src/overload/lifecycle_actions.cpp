// The implementation of each action of the request lifecycle (overload/request_lifecycle.h).
#include "overload/controller_core.h"

namespace myrtlecroft {

using overload::RequestAction;
using overload::RequestEvent;

void Controller::Core::apply(Request& request, RequestEvent event) {
  auto transition = overload::request_transition(request.phase, event);
  if (!transition) return;
  request.phase = transition->next;
  perform(request, transition->action);
  if (request.phase == Phase::kDone) release(request);
}

void Controller::Core::perform(Request& request, RequestAction action) {
  switch (action) {
    case RequestAction::kEnqueue:
      return enqueue(request);
    case RequestAction::kCoalesce:
      return coalesce(request);
    case RequestAction::kReject:
      return reject(request);
    case RequestAction::kStart:
      return start_run(request);
    case RequestAction::kAwaitDependency:
      return await_dependency(request);
    case RequestAction::kIssueCall:
      return issue_call(request);
    case RequestAction::kSkipCall:
      return skip_call(request);
    case RequestAction::kResume:
      return resume(request);
    case RequestAction::kAwaitAgain:
      return await_again(request);
    case RequestAction::kCountLostCall:
      return count_lost_call(request);
    case RequestAction::kFinish:
      return finish(request);
    case RequestAction::kAbandon:
      return abandon(request);
    case RequestAction::kFailUnstarted:
      return fail_unstarted(request);
    case RequestAction::kDisconnect:
      return disconnect(request);
    case RequestAction::kLeaveQueue:
      return leave_queue(request);
  }
}

void Controller::Core::enqueue(Request& request) {
  request.position = next_position();
  memory_.charge(request, request.queued_kb);
  queue_.push_back(&request);
  if (request.awaits_intent) actions_.record_intent(request);
  // The key is retained from here on, so that a retry is recognized while its original is still queued.
  Nanos lifetime = key_lifetime(request);
  if (lifetime <= 0) return;
  request.key_retained = true;
  request.key_expires_at = now_ + lifetime;
  memory_.retain_key(request.key_expires_at);
  actions_.retain_key(request, lifetime);
}

void Controller::Core::coalesce(Request& request) {
  request.ran = true;  // its original has run or may still run
  memory_.charge(request, request.queued_kb);
  actions_.coalesce(request);
}

void Controller::Core::reject(Request& request) {
  capacity_.request_rejected(now_);
  leave_queue(request);
  bool no_failover = fleet_is_overloaded() || dependency_.is_slow_for(request, now_);
  Nanos retry_after = advice_.retry_after(health_.mode(), queue_.size(), capacity_.throughput(now_));
  actions_.reject(request, no_failover, retry_after);
}

void Controller::Core::start_run(Request& request) {
  std::erase(queue_, &request);
  request.ran = true;
  request.started = now_;
  memory_.charge(request, request.queued_kb * config_.running_memory_factor);
  if (concurrency_.running() == 0) health_.first_run_started(now_);
  concurrency_.begin_running(request, now_);
  actions_.run(request);
}

void Controller::Core::await_dependency(Request& request) {
  concurrency_.end_running(request, now_);
  ++request.calls;
  dependency_.await_slot(request);
}

void Controller::Core::issue_call(Request& request) {
  dependency_.stop_awaiting(request);
  request.call_in_flight = true;
  request.interval_start = now_;
  actions_.call(request, dependency_.max_call_time(request, now_));
  dependency_.call_issued(request);
}

void Controller::Core::skip_call(Request& request) {
  dependency_.stop_awaiting(request);
  concurrency_.begin_running(request, now_);
  actions_.skip_call(request);
}

void Controller::Core::resume(Request& request) {
  dependency_.remove_call(request, now_);
  concurrency_.begin_running(request, now_);
}

void Controller::Core::await_again(Request& request) {
  dependency_.remove_call(request, now_);
  dependency_.await_slot(request);
}

void Controller::Core::count_lost_call(Request& request) {
  await_again(request);
  ++request.lost_call_count;
}

void Controller::Core::finish(Request& request) {
  concurrency_.end_running(request, now_);
  dependency_.remove_call(request, now_);
}

// Fails a request that was started. The failure does not say whether the request took effect. Its work is
// stopped where that is possible, unless a retry may still need the result.
void Controller::Core::abandon(Request& request) {
  if (!request.answered) {
    actions_.fail(request);
    record_late_answer(request);
  }
  request.answered = true;
  dependency_.remove_call(request, now_);
  bool is_idempotent = request.request_class->idempotency == Idempotency::kIdempotent;
  if (request.occupies_core && config_.stop_mode != StopMode::kNone && is_idempotent)
    actions_.stop_work(request);
}

void Controller::Core::fail_unstarted(Request& request) {
  leave_queue(request);
  actions_.fail(request);
  if (request.position) record_late_answer(request);
}

void Controller::Core::disconnect(Request& request) {
  record_late_answer(request);
  request.answered = true;
  abandon(request);
}

// The request has not run, so its key is discarded: a retry may run.
void Controller::Core::leave_queue(Request& request) {
  std::erase(queue_, &request);
  if (!request.key_retained) return;
  request.key_retained = false;
  memory_.forget_key(request.key_expires_at);
  actions_.forget_key(request);
}

void Controller::Core::release(Request& request) {
  memory_.charge(request, 0);
  std::erase(open_requests_, &request);
  actions_.release(request);
}

}  // namespace myrtlecroft
