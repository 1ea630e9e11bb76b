// Whether the server as a whole serves: from measured progress and failures to serving, stalled, probing
// (half-open: a few trial runs) and draining.
#pragma once

#include <optional>

#include "myrtlecroft/controller.h"
#include "myrtlecroft/decaying_sum.h"
#include "overload/capacity_estimate.h"
#include "overload/concurrency_limit.h"

namespace myrtlecroft::overload {

const char* name_of(Mode mode);

// What a change of mode brings.
enum class HealthAction {
  kShedQueue,  // health is bad: all that is queued is rejected
  kProbe,      // health is good again, for trial runs
  kRestart,    // the admission window starts anew
  kReportBad
};

struct HealthTransition {
  Mode from;
  Mode to;
  HealthAction action;
  const char* reason;
};

class HealthState {
 public:
  // `min_objective`: the shortest latency objective of any class. The others must outlive it.
  HealthState(Nanos min_objective, const ConcurrencyLimit& concurrency, const CapacityEstimate& capacity)
      : min_objective_(min_objective), concurrency_(concurrency), capacity_(capacity) {}

  void start(Nanos now) { last_progress_ = now; }
  // A run or a call moved on.
  void progress(Nanos now);
  // The first run after none: no progress was to be expected before.
  void first_run_started(Nanos now) { last_progress_ = now; }
  void run_ended(bool ok, Nanos now);
  void begin_drain(Nanos stop_at, Nanos now);

  Mode mode() const { return mode_; }
  double failed_share(Nanos now) const;
  // While probing only a few requests may be in the server, queued or running.
  bool rejects_arrivals(int requests_in_server) const;
  // Requests that may run at once, of `limit`.
  double max_running(double limit) const;
  // A run that spans a stall tells how long the stall was, and not how long work takes.
  bool started_after_stall(const Request& request) const { return request.started >= stalled_at_; }

  bool arrived_after_grace(const Request& request, Nanos grace) const;
  bool stops_within(Nanos time, Nanos now) const { return stop_at_ != 0 && stop_at_ - now <= time; }

  // The transition that is due, if any; it is in force once enter() was called.
  std::optional<HealthTransition> next(Nanos now) const;
  void enter(const HealthTransition& transition, Nanos now);
  // Progress counts until here only.
  void clear_progress() { progressed_ = false; }

 private:
  struct Row;

  bool draining(Nanos) const { return stop_at_ != 0; }
  bool stalled(Nanos now) const;
  bool may_probe(Nanos now) const;
  bool proven(Nanos) const;
  bool runs_fail(Nanos now) const;

  static constexpr Nanos kFailuresRecent = 3 * kSecond;

  Nanos min_objective_;
  const ConcurrencyLimit& concurrency_;
  const CapacityEstimate& capacity_;
  Mode mode_ = Mode::kServing;
  Nanos drain_begun_ = 0;
  Nanos stop_at_ = 0;  // 0: not draining
  Nanos last_progress_ = 0;
  Nanos stalled_at_ = 0;
  bool progressed_ = false;
  int probes_ok_ = 0;  // in a row
  DecayingSum runs_{kFailuresRecent};
  DecayingSum failures_{kFailuresRecent};
};

}  // namespace myrtlecroft::overload
