// Decides which waiting request may call the shared dependency, how long a call may take, and which calls
// count as lost.
//
// Each call costs credit for the time it takes. The credit grows with this server's share of the dependency.
// While calls are slow it grows more slowly, so that the dependency stays busy but is not overloaded.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "myrtlecroft/controller.h"
#include "overload/capacity_estimate.h"
#include "overload/concurrency_limit.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

// One thread. Credit is in seconds of calls.
class DependencyBudget {
 public:
  // All arguments must outlive the budget.
  DependencyBudget(const ServiceConfig& config, const ConcurrencyLimit& concurrency,
                   const CapacityEstimate& capacity);

  void start(Nanos now) { credited_at_ = now; }

  // Tracks the requests that wait for a call and the calls in flight.
  void await_slot(Request& request) { awaiting_.push_back(&request); }
  void stop_awaiting(Request& request);
  // How long a call may take so that all calls together stay within this server's share even if none returns.
  // Must be called before call_issued().
  Nanos max_call_time(const Request& request, Nanos now) const;
  void call_issued(Request& request) { in_flight_.push_back(&request); }
  // Removes the request from the waiting requests and the calls in flight. An abandoned call continues to
  // occupy the dependency for ServiceConfig::abandoned_call_lifetime.
  void remove_call(Request& request, Nanos now);
  // Records the duration of a call that ended.
  void call_ended(const Request& request, Outcome outcome, Nanos duration, Nanos now);
  // Whether a call with this outcome was certainly not executed.
  static bool never_ran(Outcome outcome) {
    return outcome == Outcome::kAtCapacity || outcome == Outcome::kUnreachable;
  }

  // Updates the credit and the best call time for the time since the last refill.
  void refill_credit(Nanos now);
  void expire_abandoned_calls(Nanos now);
  // The calls in flight whose reply is not expected any more and which may be repeated.
  std::vector<Request*> lost_calls(Nanos now) const;
  // The waiting requests, the one whose call has the highest value first.
  std::vector<Request*> awaiting_by_value() const;
  enum class Decision { kWait, kIssue, kSkip, kFail };
  // What a waiting request has to do now: wait, issue its call, go on without it, or fail.
  Decision decide(const Request& request, Nanos now) const;

  // Seconds that the calls of the request would wait; 0 if it can do without them.
  double expected_wait(const Request& request, Nanos now) const;
  // Whether the request may call the dependency, and calls take far longer than the best recent ones.
  bool is_slow_for(const Request& request, Nanos now) const;
  int requests_in_calls() const { return static_cast<int>(awaiting_.size() + in_flight_.size()); }
  // The number of requests that may wait for a call or be in one.
  int slots(Nanos now) const;
  // Whether the request requires a call and no slot is free.
  bool lacks_slot(const Request& request, Nanos now) const;

 private:
  double measured_call_time(Nanos now) const;
  double call_time(Nanos now) const;
  // The mean number of calls that this server should have in flight.
  double target_calls_in_flight(Nanos now) const;
  // Calls that occupy the dependency.
  double occupying_calls() const { return static_cast<double>(in_flight_.size() + abandoned_.size()); }
  double share_over_window() const;
  double max_call_seconds() const;
  bool later_call_returned(const Request& request) const {
    return request.interval_start < newest_returned_issued_at_;
  }
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
  std::deque<Request*> in_flight_;       // in the order of issue
  std::multiset<Nanos> abandoned_;       // when each abandoned call has ended at the latest
  DecayingMean call_time_;               // seconds
  DecayingMean base_call_time_;          // seconds, over a longer time constant
  double last_known_call_time_;          // seconds, as of the last call that ended
  double best_call_time_;                // seconds; grows slowly, to be replaced by newer times
  Nanos newest_returned_issued_at_ = 0;  // issue time of the latest issued call that has returned
  Nanos credit_window_;                  // over which the calls must stay within the share
  double credit_ = 0;                    // seconds of calls; negative: debt
  Nanos credited_at_ = 0;
};

}  // namespace myrtlecroft::overload
