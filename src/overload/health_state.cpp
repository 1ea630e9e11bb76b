#include "overload/health_state.h"

#include <algorithm>
#include <array>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// The server is stalled when no run makes progress for kStallCoreTimes core times divided by the number of
// runs, plus kMinStallCoreTimes, since the runs that are still going are longer than the mean.
constexpr double kStallCoreTimes = 16;
constexpr double kMinStallCoreTimes = 2;
constexpr double kMinStallObjectiveShare = 0.4;  // share of the shortest latency objective
constexpr Nanos kStallTimeout = 3 * kSecond;     // until probing, if runs fail or none is left
constexpr double kMaxFailedShare = 0.3;       // share of recent runs; above it the server counts as failing
constexpr double kMinRunsForFailureRate = 6;  // recent runs
constexpr int kMaxProbes = 2;                 // running or queued at once
constexpr int kProbesToServe = 6;             // in a row

}  // namespace

struct HealthState::Row {
  Mode mode;
  bool (HealthState::*condition)(Nanos) const;
  Mode next_mode;
  HealthAction action;
  const char* reason;
};

const char* name_of(Mode mode) {
  constexpr std::array<const char*, 4> kNames = {"serving", "stalled", "probing", "draining"};
  return kNames[static_cast<std::size_t>(mode)];
}

void HealthState::record_progress(Nanos now) {
  last_progress_ = now;
  progressed_since_dispatch_ = true;
}

void HealthState::record_run_end(bool ok, Nanos now) {
  record_progress(now);
  recent_runs_.add(1, now);
  if (!ok) recent_failures_.add(1, now);
  consecutive_probe_successes_ = ok ? consecutive_probe_successes_ + 1 : 0;
}

void HealthState::begin_drain(Nanos stop_at, Nanos now) {
  drain_started_at_ = now;
  stop_at_ = stop_at;
}

double HealthState::failed_share(Nanos now) const {
  return recent_failures_.read(now) / std::max(1.0, recent_runs_.read(now));
}

bool HealthState::rejects_arrivals(int requests_in_server) const {
  if (mode_ == Mode::kStalled) return true;
  return mode_ == Mode::kProbing && requests_in_server >= kMaxProbes;
}

double HealthState::max_running(double limit) const {
  if (mode_ == Mode::kStalled) return 0;
  return mode_ == Mode::kProbing ? kMaxProbes : limit;
}

bool HealthState::arrived_after_grace(const Request& request, Nanos grace) const {
  return stop_at_ != 0 && request.arrived > drain_started_at_ + grace;
}

std::optional<HealthTransition> HealthState::due_transition(Nanos now) const {
  static constexpr std::array<Row, 7> kRows = {{
      {Mode::kServing, &HealthState::is_draining, Mode::kDraining, HealthAction::kReportUnhealthy,
       "graceful shutdown"},
      {Mode::kStalled, &HealthState::is_draining, Mode::kDraining, HealthAction::kReportUnhealthy,
       "graceful shutdown"},
      {Mode::kProbing, &HealthState::is_draining, Mode::kDraining, HealthAction::kReportUnhealthy,
       "graceful shutdown"},
      {Mode::kServing, &HealthState::is_stalled, Mode::kStalled, HealthAction::kShedQueue,
       "runs make no progress or fail"},
      {Mode::kProbing, &HealthState::is_stalled, Mode::kStalled, HealthAction::kShedQueue,
       "probes make no progress or fail"},
      {Mode::kStalled, &HealthState::may_probe, Mode::kProbing, HealthAction::kProbe,
       "a run made progress, or the stall timeout passed"},
      {Mode::kProbing, &HealthState::probes_succeeded, Mode::kServing, HealthAction::kResetWindow,
       "probes succeeded"},
  }};
  for (const Row& row : kRows) {
    if (row.mode != mode_ || !(this->*row.condition)(now)) continue;
    return HealthTransition{row.mode, row.next_mode, row.action, row.reason};
  }
  return std::nullopt;
}

void HealthState::enter(const HealthTransition& transition, Nanos now) {
  mode_ = transition.to;
  if (transition.action == HealthAction::kShedQueue) stalled_at_ = now;
  if (transition.action != HealthAction::kProbe) return;
  consecutive_probe_successes_ = 0;
  recent_runs_ = DecayingSum(kFailureTimeConstant);
  recent_failures_ = DecayingSum(kFailureTimeConstant);
  last_progress_ = now;
}

// The fewer requests run, the longer a time without progress can be by chance, especially if some requests
// take far longer than most. A sudden slowdown by several times looks like a stall at first; it costs a short
// time of probing.
bool HealthState::is_stalled(Nanos now) const {
  if (failure_rate_is_high(now)) return true;
  if (concurrency_.running() == 0) return false;
  double time_without_progress = seconds(now - last_progress_);
  return time_without_progress >
             capacity_.core_time(now) * (kMinStallCoreTimes + kStallCoreTimes / concurrency_.running()) &&
         time_without_progress > kMinStallObjectiveShare * seconds(min_objective_);
}

bool HealthState::may_probe(Nanos now) const {
  bool stall_timeout_passed = now - stalled_at_ >= kStallTimeout;
  if (stall_timeout_passed) return concurrency_.running() == 0 || progressed_since_dispatch_;
  return progressed_since_dispatch_ && !failure_rate_is_high(now);
}

bool HealthState::probes_succeeded(Nanos) const { return consecutive_probe_successes_ >= kProbesToServe; }

bool HealthState::failure_rate_is_high(Nanos now) const {
  return recent_runs_.read(now) >= kMinRunsForFailureRate && failed_share(now) > kMaxFailedShare;
}

}  // namespace myrtlecroft::overload
