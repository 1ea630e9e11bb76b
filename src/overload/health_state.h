// The state machine of the server's mode (serving, stalled, probing, draining), driven by the progress and
// the failures of runs.
#pragma once

#include <optional>

#include "myrtlecroft/controller.h"
#include "myrtlecroft/decaying_sum.h"
#include "overload/capacity_estimate.h"
#include "overload/concurrency_limit.h"

namespace myrtlecroft::overload {

// The mode's name in log lines.
const char* name_of(Mode mode);

// The action that a change of mode requires.
enum class HealthAction {
  kShedQueue,    // reports bad health and rejects all queued requests
  kProbe,        // reports good health, so that requests for probe runs arrive
  kResetWindow,  // resets the admission window
  kReportUnhealthy
};

// A change of mode. `reason` is for the log.
struct HealthTransition {
  Mode from;
  Mode to;
  HealthAction action;
  const char* reason;
};

// One thread. `now` must not go backwards.
class HealthState {
 public:
  // `min_objective`: the shortest latency objective of any class. The other arguments must outlive the
  // object.
  HealthState(Nanos min_objective, const ConcurrencyLimit& concurrency, const CapacityEstimate& capacity)
      : min_objective_(min_objective), concurrency_(concurrency), capacity_(capacity) {}

  void start(Nanos now) { last_progress_ = now; }
  // Records that a run or a dependency call made progress.
  void record_progress(Nanos now);
  // Restarts the time without progress: while no request ran, no progress was possible.
  void first_run_started(Nanos now) { last_progress_ = now; }
  void record_run_end(bool ok, Nanos now);
  void begin_drain(Nanos stop_at, Nanos now);

  Mode mode() const { return mode_; }
  // The share of recent runs that failed.
  double failed_share(Nanos now) const;
  // `requests_in_server`: queued or running. While probing, only a few are allowed.
  bool rejects_arrivals(int requests_in_server) const;
  // The number of requests that may run at once in this mode; `limit` while the server is healthy.
  double max_running(double limit) const;
  // A run that began before a stall measures the stall and not the work.
  bool started_after_stall(const Request& request) const { return request.started >= stalled_at_; }

  // Whether the request arrived more than `grace` after the drain began.
  bool arrived_after_grace(const Request& request, Nanos grace) const;
  bool stops_within(Nanos time, Nanos now) const { return stop_at_ != 0 && stop_at_ - now <= time; }

  // The transition that is due, if any. It takes effect with enter().
  std::optional<HealthTransition> due_transition(Nanos now) const;
  void enter(const HealthTransition& transition, Nanos now);
  // Must be called at the end of each dispatch: only progress since then counts.
  void clear_progress() { progressed_since_dispatch_ = false; }

 private:
  struct Row;

  bool is_draining(Nanos) const { return stop_at_ != 0; }
  bool is_stalled(Nanos now) const;
  bool may_probe(Nanos now) const;
  bool probes_succeeded(Nanos) const;
  bool failure_rate_is_high(Nanos now) const;

  static constexpr Nanos kFailureTimeConstant = 3 * kSecond;

  Nanos min_objective_;
  const ConcurrencyLimit& concurrency_;
  const CapacityEstimate& capacity_;
  Mode mode_ = Mode::kServing;
  Nanos drain_started_at_ = 0;
  Nanos stop_at_ = 0;  // 0: not draining
  Nanos last_progress_ = 0;
  Nanos stalled_at_ = 0;
  bool progressed_since_dispatch_ = false;
  int consecutive_probe_successes_ = 0;
  DecayingSum recent_runs_{kFailureTimeConstant};
  DecayingSum recent_failures_{kFailureTimeConstant};
};

}  // namespace myrtlecroft::overload
