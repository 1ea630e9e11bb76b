// The part of Service that handles dependency calls: it enforces their time limits and passes their results
// to the controller and the engine.
#include <algorithm>
#include <utility>

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

// A call that was not executed is reported this long after its issue at the earliest, so that a database that
// rejects every call immediately is not called in a tight loop.
constexpr Nanos kMinFailedCallDuration = 10 * kMs;

}  // namespace

void Service::call_completed(const std::string& id, CallResult result, std::string body) {
  handle_event([&] {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    ServerRequest& request = *found->second;
    if (!request.dependency_call.active || request.dependency_call.result) return;
    switch (result) {
      case CallResult::kSucceeded:
        end_call(request, Outcome::kOk);
        if (request.answered) return;
        engine_.deliver_reply(request, std::move(body));
        return;
      case CallResult::kFailed:
        return end_call(request, Outcome::kFailed);
      case CallResult::kTimedOut:
        return end_call(request, Outcome::kTimedOut);
      case CallResult::kConnectionLost:
        return end_call(request, Outcome::kReset);
      case CallResult::kAtCapacity:
      case CallResult::kNotExecuted:
        request.dependency_call.result = Outcome::kAtCapacity;
        break;
      case CallResult::kUnreachable:
        request.dependency_call.result = Outcome::kUnreachable;
        break;
    }
    request.dependency_call.deadline =
        std::min(request.dependency_call.deadline, request.dependency_call.started + kMinFailedCallDuration);
  });
}

void Service::end_call(ServerRequest& request, Outcome outcome) {
  std::erase(calls_, &request);
  request.dependency_call.active = false;
  controller_->call_ended(request, outcome, now_ - request.dependency_call.started, now_);
}

void Service::abandon_active_call(ServerRequest& request) {
  if (!request.dependency_call.active) return;
  ports_.dependency.abandon_call(request.id);
  std::erase(calls_, &request);
  request.dependency_call.active = false;
}

// Enforces the time limits of calls, since the dependency's client has no timers.
void Service::end_overdue_calls() {
  std::vector<ServerRequest*> calls = calls_;
  for (ServerRequest* request : calls) {
    if (!request->dependency_call.active || request->dependency_call.deadline > now_) continue;
    if (!request->dependency_call.result) ports_.dependency.abandon_call(request->id);
    end_call(*request, request->dependency_call.result.value_or(Outcome::kTimedOut));
  }
}

void Service::call(Request& base_request, Nanos max_duration) {
  ServerRequest& request = server_request(base_request);
  request.dependency_call.active = true;
  request.dependency_call.result.reset();
  request.dependency_call.started = now_;
  request.dependency_call.deadline = now_ + max_duration;
  calls_.push_back(&request);
  ports_.dependency.call(request.id, request.payload, max_duration);
}

bool Service::abandon_call(Request& base_request) {
  ServerRequest& request = server_request(base_request);
  if (!request.dependency_call.active || request.dependency_call.result) return false;
  abandon_active_call(request);
  return true;
}

}  // namespace myrtlecroft::service
