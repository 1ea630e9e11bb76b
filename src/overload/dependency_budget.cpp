#include "overload/dependency_budget.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

constexpr Nanos kCallsRecent = kSecond;
constexpr double kFirstCallTime = 0.05;   // seconds
constexpr double kNoCallTime = 1e9;       // seconds, above any call's
constexpr double kKnownTimeWeight = 0.5;  // samples that the call time last known weighs
constexpr double kMinWaitTime = 0.001;    // seconds
constexpr double kQuickShare = 0.8;       // of our share of the dependency, while calls are quick
constexpr double kSlowShare = 0.3;  // and at least: a dependency slows down well before all of it is used
constexpr double kSlowFactor = 3;   // times the best recent call time: slow for all who call
constexpr double kLostFactor = 8;   // times the call time, with later calls back: no reply will come
constexpr int kMaxAttempts = 2;     // of a call that may run again
constexpr double kSlotShare = 0.5;  // of the concurrency: the rest is left to what runs
constexpr double kMaxCreditShare = 0.05;  // of our share over its window
constexpr double kMaxDebtShare = 0.3;     // of the same, owed by calls that do not return
constexpr double kForgetRate = 0.02;      // a second: how quickly the best call time is forgotten

// What the answer loses without the call.
double call_value(const Request& request) {
  const RequestClass& request_class = *request.request_class;
  return request_class.priority_weight * (1 - request_class.degraded_weight_share);
}

bool may_repeat_call(const Request& request) {
  return request.request_class->idempotency == Idempotency::kIdempotent;
}

}  // namespace

DependencyBudget::DependencyBudget(const ServiceConfig& config, const ConcurrencyLimit& concurrency,
                                   const CapacityEstimate& capacity)
    : config_(config),
      concurrency_(concurrency),
      capacity_(capacity),
      call_time_(kCallsRecent),
      last_known_call_time_(kFirstCallTime),
      quick_call_time_(kNoCallTime),
      window_(std::max(kSecond, config.dependency_window)) {}

void DependencyBudget::stop_awaiting(Request& request) { std::erase(awaiting_, &request); }

Nanos DependencyBudget::max_call_time(const Request& request, Nanos now) const {
  return std::max(kMs, std::min(request.deadline - now, nanos(max_call_seconds())));
}

void DependencyBudget::call_left(Request& request, Nanos now) {
  stop_awaiting(request);
  if (!request.call_in_flight) return;
  request.call_in_flight = false;
  std::erase(in_flight_, &request);
  if (request.phase == Phase::kAbandoned) abandoned_.insert(now + config_.abandoned_call_lifetime);
}

void DependencyBudget::call_ended(const Request& request, Outcome outcome, Nanos took, Nanos now) {
  bool known_long = outcome == Outcome::kTimedOut && overtaken(request);
  bool measures_time = !never_ran(outcome) && outcome != Outcome::kReset && !known_long;
  if (outcome == Outcome::kOk) newest_returned_ = std::max(newest_returned_, request.interval_start);
  if (!measures_time) return;
  call_time_.add(seconds(took), now);
  base_call_time_.add(seconds(took), now);
  last_known_call_time_ = learned_call_time(now);
}

void DependencyBudget::refill(Nanos now) {
  double passed = seconds(now - credited_at_);
  quick_call_time_ = std::min(base_call_time_.mean(last_known_call_time_, now),
                              quick_call_time_ * (1 + kForgetRate * passed));
  credit_ = std::min(kMaxCreditShare * share_over_window(), credit_ + (target(now) - occupied()) * passed);
  credited_at_ = now;
}

void DependencyBudget::expire_abandoned_calls(Nanos now) {
  while (!abandoned_.empty() && *abandoned_.begin() < now) abandoned_.erase(abandoned_.begin());
}

// A reply that never comes, while the dependency answers others, or a connection that went dead.
std::vector<Request*> DependencyBudget::lost_calls(Nanos now) const {
  std::vector<Request*> lost;
  for (Request* request : in_flight_) {
    bool too_long = seconds(now - request->interval_start) > kLostFactor * learned_call_time(now);
    if (overtaken(*request) && too_long && may_repeat_call(*request)) lost.push_back(request);
  }
  return lost;
}

std::vector<Request*> DependencyBudget::awaiting_by_value() const {
  std::vector<Request*> out(awaiting_.begin(), awaiting_.end());
  std::stable_sort(out.begin(), out.end(),
                   [](const Request* a, const Request* b) { return call_value(*a) > call_value(*b); });
  return out;
}

// A slow dependency holds back only the requests that call it: those that can do without the call go on once
// the wait would cost them the latency objective or the slots are taken, and those past their objective give
// up their slot. A lost call of a request that may not run twice ends the request.
DependencyBudget::Decision DependencyBudget::decide(const Request& request, Nanos now) const {
  double left = seconds(request.useful_until - now);
  bool no_time = left < capacity_.core_time_of(request, now) + 2 * call_time(now);
  bool no_slot = requests_in_calls() > slots(now);
  int max_lost = may_repeat_call(request) ? kMaxAttempts : 1;
  bool no_attempt = request.lost_call_count >= max_lost;
  if (request.request_class->degraded_weight_share > 0 && (no_time || no_slot || no_attempt)) {
    return Decision::kSkip;
  }
  if (request.lost_call_count > 0 && !may_repeat_call(request)) return Decision::kFail;
  if ((no_slot || is_slow_for(request, now)) && left < 0) return Decision::kFail;
  bool affordable = credit_ >= 0 && occupied() + 1 <= std::max(1.0, target(now));
  return affordable ? Decision::kIssue : Decision::kWait;
}

// Behind all waiting calls of as much value.
double DependencyBudget::expected_wait(const Request& request, Nanos now) const {
  if (!requires_call(request)) return 0;
  double ahead = 0;
  for (const Request* other : awaiting_) {
    if (call_value(*other) >= call_value(request)) ahead += 1;
  }
  return ahead * std::max(kMinWaitTime, call_time(now)) / target(now) * capacity_.calls_of(request, now);
}

bool DependencyBudget::is_slow_for(const Request& request, Nanos now) const {
  return has_dependency(request) && call_time(now) > kSlowFactor * quick_call_time_;
}

int DependencyBudget::slots(Nanos now) const {
  if (config_.dependency_share <= 0) return 0;
  return std::max(1, static_cast<int>(kSlotShare * concurrency_.max_concurrency(now)));
}

bool DependencyBudget::lacks_slot(const Request& request, Nanos now) const {
  return requires_call(request) && requests_in_calls() >= slots(now);
}

double DependencyBudget::learned_call_time(Nanos now) const {
  return call_time_.mean(last_known_call_time_, now, kKnownTimeWeight);
}

// A call still in flight tells as much as one that ended, unless a later one has returned: then it tells of
// itself alone.
double DependencyBudget::call_time(Nanos now) const {
  auto oldest = std::find_if_not(in_flight_.begin(), in_flight_.end(),
                                 [this](const Request* request) { return overtaken(*request); });
  double in_flight_for = oldest == in_flight_.end() ? 0 : seconds(now - (*oldest)->interval_start);
  return std::max(learned_call_time(now), in_flight_for);
}

double DependencyBudget::target(Nanos now) const {
  double speed = quick_call_time_ / call_time(now);
  return config_.dependency_share * std::clamp(kQuickShare * speed, kSlowShare, kQuickShare);
}

double DependencyBudget::share_over_window() const { return config_.dependency_share * seconds(window_); }

// The dependency fails from many servers that each hold only one call too long. A call that would soon have
// ended is abandoned too; that is rare while the rate follows the time that calls take.
double DependencyBudget::max_call_seconds() const {
  double debt = kMaxDebtShare * share_over_window();
  double lingers = std::min(seconds(config_.abandoned_call_lifetime), debt / 2);
  return (credit_ + debt) / (occupied() + 1) - lingers;
}

}  // namespace myrtlecroft::overload
