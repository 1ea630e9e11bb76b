// The calls to the shared dependency: which waiting request may issue one, how long a call may take, and
// which calls count as lost.
//
// Calls are paid for by the time they take. The credit grows with this server's share of the dependency,
// which is smaller while calls are slow, so that the dependency stays busy but not overloaded.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "myrtlecroft/controller.h"
#include "overload/capacity_estimate.h"
#include "overload/concurrency_limit.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

class DependencyBudget {
 public:
  // All must outlive it.
  DependencyBudget(const ServiceConfig& config, const ConcurrencyLimit& concurrency,
                   const CapacityEstimate& capacity);

  void start(Nanos now) { credited_at_ = now; }

  // The requests that wait for a slot, and the calls in flight.
  void await_slot(Request& request) { awaiting_.push_back(&request); }
  void stop_awaiting(Request& request);
  // Before call_issued(): how long the call may take, so that all calls together stay within this server's
  // share even if none of them returns.
  Nanos max_call_time(const Request& request, Nanos now) const;
  void call_issued(Request& request) { in_flight_.push_back(&request); }
  // An abandoned call still occupies the dependency for a while.
  void call_left(Request& request, Nanos now);
  void call_ended(const Request& request, Outcome outcome, Nanos took, Nanos now);
  static bool never_ran(Outcome outcome) {
    return outcome == Outcome::kAtCapacity || outcome == Outcome::kUnreachable;
  }

  // Brings credit and abandoned calls up to date.
  void refill(Nanos now);
  void expire_abandoned_calls(Nanos now);
  std::vector<Request*> lost_calls(Nanos now) const;
  // Those that wait, the one with the most to lose first.
  std::vector<Request*> awaiting_by_value() const;
  enum class Decision { kWait, kIssue, kSkip, kFail };
  Decision decide(const Request& request, Nanos now) const;

  // Seconds that the calls of a request which can't do without them would wait.
  double expected_wait(const Request& request, Nanos now) const;
  bool is_slow_for(const Request& request, Nanos now) const;
  int requests_in_calls() const { return static_cast<int>(awaiting_.size() + in_flight_.size()); }
  // Slots for requests that wait for a call or are in one.
  int slots(Nanos now) const;
  bool lacks_slot(const Request& request, Nanos now) const;

 private:
  double learned_call_time(Nanos now) const;
  double call_time(Nanos now) const;
  double target(Nanos now) const;
  double occupied() const { return static_cast<double>(in_flight_.size() + abandoned_.size()); }
  double share_over_window() const;
  double max_call_seconds() const;
  bool overtaken(const Request& request) const { return request.interval_start < newest_returned_; }
  bool has_dependency(const Request& request) const {
    return request.request_class->makes_calls && config_.has_dependency;
  }
  bool requires_call(const Request& request) const {
    return has_dependency(request) && request.request_class->degraded_weight_share <= 0;
  }

  const ServiceConfig& config_;
  const ConcurrencyLimit& concurrency_;
  const CapacityEstimate& capacity_;
  std::deque<Request*> awaiting_;
  std::deque<Request*> in_flight_;  // oldest first
  std::multiset<Nanos> abandoned_;  // when each abandoned call has surely ended
  DecayingMean call_time_;
  DecayingMean base_call_time_;
  double last_known_call_time_;  // seconds, when a call last ended
  double quick_call_time_;       // seconds, the best recent time
  Nanos newest_returned_ = 0;    // when the latest issued of the calls that returned was issued
  Nanos window_;                 // over which the share counts
  double credit_ = 0;            // seconds of calls
  Nanos credited_at_ = 0;
};

}  // namespace myrtlecroft::overload
