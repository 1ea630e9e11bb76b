// The part of Service for calls to the dependency: their time limits, and their results for the controller
// and the engine.
#include <algorithm>
#include <utility>

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

// A call that was not executed is reported no sooner than this after it was made, so that a database that
// rejects everything at once is not called in a tight loop.
constexpr Nanos kMinFailedCall = 10 * kMs;

}  // namespace

void Service::call_completed(ServerRequest& request, CallResult result, std::string body) {
  handle([&] {
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
        std::min(request.dependency_call.deadline, request.dependency_call.started + kMinFailedCall);
  });
}

void Service::end_call(ServerRequest& request, Outcome outcome) {
  std::erase(calls_, &request);
  request.dependency_call.active = false;
  controller_->call_ended(request, outcome, now_ - request.dependency_call.started, now_);
}

void Service::abandon_active_call(ServerRequest& request) {
  if (!request.dependency_call.active) return;
  ports_.dependency.abandon_call(request);
  std::erase(calls_, &request);
  request.dependency_call.active = false;
}

// The dependency's client has no timers: the time limits of calls are enforced here.
void Service::end_overdue_calls() {
  std::vector<ServerRequest*> calls = calls_;
  for (ServerRequest* request : calls) {
    if (!request->dependency_call.active || request->dependency_call.deadline > now_) continue;
    if (!request->dependency_call.result) ports_.dependency.abandon_call(*request);
    end_call(*request, request->dependency_call.result.value_or(Outcome::kTimedOut));
  }
}

void Service::call(Request& given, Nanos longest) {
  ServerRequest& request = server_request(given);
  request.dependency_call.active = true;
  request.dependency_call.result.reset();
  request.dependency_call.started = now_;
  request.dependency_call.deadline = now_ + longest;
  calls_.push_back(&request);
  ports_.dependency.call(request, request.payload, longest);
}

bool Service::abandon_call(Request& given) {
  ServerRequest& request = server_request(given);
  if (!request.dependency_call.active || request.dependency_call.result) return false;
  abandon_active_call(request);
  return true;
}

}  // namespace myrtlecroft::service
