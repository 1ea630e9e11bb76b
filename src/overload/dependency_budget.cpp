#include "overload/dependency_budget.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

constexpr Nanos kCallTimeSmoothing = kSecond;
constexpr double kInitialCallTime = 0.05;    // seconds
constexpr double kUnknownCallTime = 1e9;     // seconds, above any real call time
constexpr double kLastCallTimeWeight = 0.5;  // weight of the last known call time, in samples
constexpr double kMinCallTime = 0.001;       // seconds
constexpr double kMaxTargetShare = 0.8;  // of this server's share of the dependency, while calls are quick
// Of the same: a dependency slows down well before all of it is used, so slow calls do not lower the target
// further.
constexpr double kMinTargetShare = 0.3;
constexpr double kSlowFactor = 3;      // times the best recent call time: slow for all callers
constexpr double kLostCallFactor = 8;  // times the call time, once a later call returned: no reply will come
constexpr int kMaxCallAttempts = 2;    // of a call that may be executed again
constexpr double kSlotShare = 0.5;     // of the concurrency; the rest is left to running requests
constexpr double kMaxCreditShare = 0.05;          // of this server's share over its window
constexpr double kMaxDebtShare = 0.3;             // of the same; used by calls that do not return
constexpr double kBestCallTimeGrowthRate = 0.02;  // per second, to forget an outdated best call time

// The priority weight that the answer loses without the call.
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
      call_time_(kCallTimeSmoothing),
      last_known_call_time_(kInitialCallTime),
      best_call_time_(kUnknownCallTime),
      credit_window_(std::max(kSecond, config.dependency_window)) {}

void DependencyBudget::stop_awaiting(Request& request) { std::erase(awaiting_, &request); }

Nanos DependencyBudget::max_call_time(const Request& request, Nanos now) const {
  return std::max(kMs, std::min(request.deadline - now, nanos(max_call_seconds())));
}

void DependencyBudget::remove_call(Request& request, Nanos now) {
  stop_awaiting(request);
  if (!request.call_in_flight) return;
  request.call_in_flight = false;
  std::erase(in_flight_, &request);
  if (request.phase == Phase::kAbandoned) abandoned_.insert(now + config_.abandoned_call_lifetime);
}

void DependencyBudget::call_ended(const Request& request, Outcome outcome, Nanos duration, Nanos now) {
  bool known_lost = outcome == Outcome::kTimedOut && later_call_returned(request);
  bool shows_call_time = !never_ran(outcome) && outcome != Outcome::kReset && !known_lost;
  if (outcome == Outcome::kOk)
    newest_returned_issued_at_ = std::max(newest_returned_issued_at_, request.interval_start);
  if (!shows_call_time) return;
  call_time_.add(seconds(duration), now);
  base_call_time_.add(seconds(duration), now);
  last_known_call_time_ = measured_call_time(now);
}

void DependencyBudget::refill_credit(Nanos now) {
  double elapsed = seconds(now - credited_at_);
  best_call_time_ = std::min(base_call_time_.mean(last_known_call_time_, now),
                             best_call_time_ * (1 + kBestCallTimeGrowthRate * elapsed));
  credit_ = std::min(kMaxCreditShare * share_over_window(),
                     credit_ + (target_calls_in_flight(now) - occupying_calls()) * elapsed);
  credited_at_ = now;
}

void DependencyBudget::expire_abandoned_calls(Nanos now) {
  while (!abandoned_.empty() && *abandoned_.begin() < now) abandoned_.erase(abandoned_.begin());
}

// A call is lost if its reply does not come while the dependency answers later calls, for instance because
// its connection is dead.
std::vector<Request*> DependencyBudget::lost_calls(Nanos now) const {
  std::vector<Request*> lost;
  for (Request* request : in_flight_) {
    bool is_too_long = seconds(now - request->interval_start) > kLostCallFactor * measured_call_time(now);
    if (later_call_returned(*request) && is_too_long && may_repeat_call(*request)) lost.push_back(request);
  }
  return lost;
}

std::vector<Request*> DependencyBudget::awaiting_by_value() const {
  std::vector<Request*> sorted(awaiting_.begin(), awaiting_.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Request* a, const Request* b) { return call_value(*a) > call_value(*b); });
  return sorted;
}

// A slow dependency must delay only the requests that call it. A request that can do without the call skips
// it once waiting would miss the latency objective or the slots are taken; a request past its objective frees
// its slot. A lost call fails a request that must not run twice.
DependencyBudget::Decision DependencyBudget::decide(const Request& request, Nanos now) const {
  double time_left = seconds(request.useful_until - now);
  bool lacks_time = time_left < capacity_.core_time_of(request, now) + 2 * call_time(now);
  bool exceeds_slots = requests_in_calls() > slots(now);
  int max_lost = may_repeat_call(request) ? kMaxCallAttempts : 1;
  bool attempts_exhausted = request.lost_call_count >= max_lost;
  if (request.request_class->degraded_weight_share > 0 &&
      (lacks_time || exceeds_slots || attempts_exhausted)) {
    return Decision::kSkip;
  }
  if (request.lost_call_count > 0 && !may_repeat_call(request)) return Decision::kFail;
  if ((exceeds_slots || is_slow_for(request, now)) && time_left < 0) return Decision::kFail;
  bool affordable = credit_ >= 0 && occupying_calls() + 1 <= std::max(1.0, target_calls_in_flight(now));
  return affordable ? Decision::kIssue : Decision::kWait;
}

// The request would wait behind all waiting calls of at least its value.
double DependencyBudget::expected_wait(const Request& request, Nanos now) const {
  if (!requires_call(request)) return 0;
  double calls_ahead = 0;
  for (const Request* other : awaiting_) {
    if (call_value(*other) >= call_value(request)) calls_ahead += 1;
  }
  return calls_ahead * std::max(kMinCallTime, call_time(now)) / target_calls_in_flight(now) *
         capacity_.calls_of(request, now);
}

bool DependencyBudget::is_slow_for(const Request& request, Nanos now) const {
  return has_dependency(request) && call_time(now) > kSlowFactor * best_call_time_;
}

int DependencyBudget::slots(Nanos now) const {
  if (config_.dependency_share <= 0) return 0;
  return std::max(1, static_cast<int>(kSlotShare * concurrency_.max_concurrency(now)));
}

bool DependencyBudget::lacks_slot(const Request& request, Nanos now) const {
  return requires_call(request) && requests_in_calls() >= slots(now);
}

double DependencyBudget::measured_call_time(Nanos now) const {
  return call_time_.mean(last_known_call_time_, now, kLastCallTimeWeight);
}

// A call in flight shows how slow the dependency is as much as one that ended does, unless a later call has
// returned: then only that one call is slow.
double DependencyBudget::call_time(Nanos now) const {
  auto oldest_pending =
      std::find_if_not(in_flight_.begin(), in_flight_.end(),
                       [this](const Request* request) { return later_call_returned(*request); });
  double in_flight_for =
      oldest_pending == in_flight_.end() ? 0 : seconds(now - (*oldest_pending)->interval_start);
  return std::max(measured_call_time(now), in_flight_for);
}

double DependencyBudget::target_calls_in_flight(Nanos now) const {
  double relative_speed = best_call_time_ / call_time(now);
  return config_.dependency_share *
         std::clamp(kMaxTargetShare * relative_speed, kMinTargetShare, kMaxTargetShare);
}

double DependencyBudget::share_over_window() const {
  return config_.dependency_share * seconds(credit_window_);
}

// The dependency is overloaded even if each of many servers has only one call in flight for too long. The
// limit also abandons some calls that would soon have ended; that is rare, since the rate of calls follows
// their duration.
double DependencyBudget::max_call_seconds() const {
  double max_debt = kMaxDebtShare * share_over_window();
  double abandoned_time = std::min(seconds(config_.abandoned_call_lifetime), max_debt / 2);
  return (credit_ + max_debt) / (occupying_calls() + 1) - abandoned_time;
}

}  // namespace myrtlecroft::overload
