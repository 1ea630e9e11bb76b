#include "releases/release_monitor.h"

#include <algorithm>

#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {

bool ReleaseMonitor::watch(const RolloutContext& context) {
  measure_interruption(context);
  bool is_unchanged = is_same_phase(context.release);
  if (is_unchanged) {
    analysis_.watch(context.all_servers(), context.view.now);
  } else {
    begin_phase(context);
  }
  alarms_.measure(context);
  return !is_unchanged;
}

void ReleaseMonitor::measure_interruption(const RolloutContext& context) {
  std::uint64_t epoch = context.view.committed_state.epoch().number;
  if (epoch == epoch_) return;
  if (epoch_seen_at_ > 0)
    longest_interruption_ = std::max(longest_interruption_, context.view.now - epoch_seen_at_);
  epoch_ = epoch;
  epoch_seen_at_ = context.view.now;
}

bool ReleaseMonitor::is_same_phase(const agreement::Release& release) const {
  return release.id() == release_id_ && release.phase() == phase_ && release.wave() == wave_;
}

void ReleaseMonitor::begin_phase(const RolloutContext& context) {
  const agreement::Release& release = context.release;
  if (release.id() != release_id_) alarms_.record_reference_shares();
  if (release_id_ != 0 || release.phase() != agreement::PHASE_NONE) log_phase(release);
  release_id_ = release.id();
  phase_ = release.phase();
  wave_ = release.wave();
  longest_interruption_ = 0;
  alarms_.restart_timers();
  analysis_.begin(context.all_servers(), context.view.now);
}

void ReleaseMonitor::log_phase(const agreement::Release& release) const {
  std::string reason = release.reason().empty() ? "" : ": " + release.reason();
  log_("release " + std::to_string(release.id()) + " '" + release.plan().name() + "' changed from " +
       agreement::name_of(phase_) + " to " + agreement::name_of(release.phase()) + ", wave " +
       std::to_string(release.wave() + 1) + " of " + std::to_string(wave_count(release.plan())) + reason);
}

}  // namespace myrtlecroft::releases
