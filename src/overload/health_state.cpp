#include "overload/health_state.h"

#include <algorithm>
#include <array>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// Stalled when no run moves for this many core times, divided by the number of runs, and for this many more:
// what still runs is the longer part of the work.
constexpr double kStallCoreTimes = 16;
constexpr double kMinStallCoreTimes = 2;
constexpr double kMinStallOfObjective = 0.4;  // of the shortest latency objective
constexpr Nanos kMinStall = 3 * kSecond;      // once runs fail, and between probes
constexpr double kFailingShare = 0.3;         // of recent runs
constexpr double kMinRunsToJudge = 6;
constexpr int kMaxProbes = 2;      // at once
constexpr int kProbesToProve = 6;  // in a row

}  // namespace

struct HealthState::Row {
  Mode mode;
  bool (HealthState::*when)(Nanos) const;
  Mode next;
  HealthAction action;
  const char* reason;
};

const char* name_of(Mode mode) {
  constexpr std::array<const char*, 4> kNames = {"serving", "stalled", "probing", "draining"};
  return kNames[static_cast<std::size_t>(mode)];
}

void HealthState::progress(Nanos now) {
  last_progress_ = now;
  progressed_ = true;
}

void HealthState::run_ended(bool ok, Nanos now) {
  progress(now);
  runs_.add(1, now);
  if (!ok) failures_.add(1, now);
  probes_ok_ = ok ? probes_ok_ + 1 : 0;
}

void HealthState::begin_drain(Nanos stop_at, Nanos now) {
  drain_begun_ = now;
  stop_at_ = stop_at;
}

double HealthState::failed_share(Nanos now) const {
  return failures_.read(now) / std::max(1.0, runs_.read(now));
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
  return stop_at_ != 0 && request.arrived > drain_begun_ + grace;
}

std::optional<HealthTransition> HealthState::next(Nanos now) const {
  static constexpr std::array<Row, 7> kRows = {{
      {Mode::kServing, &HealthState::draining, Mode::kDraining, HealthAction::kReportBad,
       "graceful shutdown"},
      {Mode::kStalled, &HealthState::draining, Mode::kDraining, HealthAction::kReportBad,
       "graceful shutdown"},
      {Mode::kProbing, &HealthState::draining, Mode::kDraining, HealthAction::kReportBad,
       "graceful shutdown"},
      {Mode::kServing, &HealthState::stalled, Mode::kStalled, HealthAction::kShedQueue,
       "runs make no progress or fail"},
      {Mode::kProbing, &HealthState::stalled, Mode::kStalled, HealthAction::kShedQueue,
       "probes make no progress or fail"},
      {Mode::kStalled, &HealthState::may_probe, Mode::kProbing, HealthAction::kProbe,
       "a run made progress, or the stall timeout passed"},
      {Mode::kProbing, &HealthState::proven, Mode::kServing, HealthAction::kRestart, "probes succeeded"},
  }};
  for (const Row& row : kRows) {
    if (row.mode != mode_ || !(this->*row.when)(now)) continue;
    return HealthTransition{row.mode, row.next, row.action, row.reason};
  }
  return std::nullopt;
}

void HealthState::enter(const HealthTransition& transition, Nanos now) {
  mode_ = transition.to;
  if (transition.action == HealthAction::kShedQueue) stalled_at_ = now;
  if (transition.action != HealthAction::kProbe) return;
  probes_ok_ = 0;
  runs_ = DecayingSum(kFailuresRecent);
  failures_ = DecayingSum(kFailuresRecent);
  last_progress_ = now;
}

// The fewer runs, the longer a pause that chance explains, more so where some work takes far longer than
// most. A sudden slowdown by several times looks the same at first; it costs a short time of probing.
bool HealthState::stalled(Nanos now) const {
  if (runs_fail(now)) return true;
  if (concurrency_.running() == 0) return false;
  double pause = seconds(now - last_progress_);
  return pause > capacity_.core_time(now) * (kMinStallCoreTimes + kStallCoreTimes / concurrency_.running()) &&
         pause > kMinStallOfObjective * seconds(min_objective_);
}

bool HealthState::may_probe(Nanos now) const {
  bool rested = now - stalled_at_ >= kMinStall;
  if (rested) return concurrency_.running() == 0 || progressed_;
  return progressed_ && !runs_fail(now);
}

bool HealthState::proven(Nanos) const { return probes_ok_ >= kProbesToProve; }

bool HealthState::runs_fail(Nanos now) const {
  return runs_.read(now) >= kMinRunsToJudge && failed_share(now) > kFailingShare;
}

}  // namespace myrtlecroft::overload
