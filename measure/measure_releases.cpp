// Measures releases over real servers under faults (make measure-releases). The same load and faults are
// played without a release, with restarts in fixed batches outside the control service, and with agreed
// releases of good and bad versions one after another. Arguments: NODES SEED SECONDS.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "agreement_rig.h"
#include "agreement_world.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::rehearsal;

constexpr double kCores = 2;
constexpr double kLoadShare = 0.7;  // of capacity
constexpr double kStartToFullServiceS =
    1.6;  // at best, in seconds: start, cold engine, time out of rotation, slow start

void print(const char* label, const RigOptions& options, const RigResult& result) {
  std::printf(
      "%-12s nodes %d faults %3d: offered %6d completed %.4f doubled %d lost %d drain violations %d crashed "
      "%d, out by "
      "choice at most %d of %d, of one service %d of %d, over %d, unpermitted %d, other violations %d%s%s\n",
      label, options.incident.nodes, result.faults, result.load.offered, result.load.completed_share(),
      result.violations.duplicate_runs, result.violations.lost_requests, result.violations.drain_violations,
      result.violations.crashes, result.unavailable.max, result.unavailable.allowed,
      result.unavailable.service_max, result.unavailable.service_allowed, result.violations.over_budget,
      result.violations.unpermitted_exits,
      result.violations.split_owners + result.violations.stale_epochs + result.violations.lost_entries +
          result.violations.not_recovered,
      result.first_violation.empty() ? "" : "; first ",
      (result.first_violation + (result.folder.empty() ? "" : ", logs in " + result.folder)).c_str());
  for (const ReleaseOutcome& release : result.releases) {
    std::printf("  to %2d %-10s %-10s after %5.1f s, reached %.2f, back in %4.1f s%s%s\n",
                release.planned.version, name_of(release.planned.defect), release.outcome.c_str(),
                release.duration_s, release.max_updated_share, release.rollback_s,
                release.stopped ? "; stopped: " : "", release.reason.c_str());
  }
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** arguments) {
  auto argument_or = [&](int index, int fallback) {
    return count > index ? std::atoi(arguments[index]) : fallback;
  };
  RigOptions options;
  Incident& incident = options.incident;
  incident.instances = 3;
  incident.nodes = argument_or(1, 100);
  incident.proxies = 8;
  incident.keys_per_s = 30;
  incident.read_ms = 150;
  incident.reads_per_s = kLoadShare * kCores * incident.nodes / (incident.read_ms / 1000);
  incident.length = argument_or(3, 200) * kSecond;
  incident.faults_per_s = 0.3;
  incident.zones = 4;
  incident.services = 5;
  incident.max_unavailable = 0.1;
  incident.service_max_unavailable = 0.2;
  options.seed = static_cast<unsigned>(argument_or(2, 1));

  RigOptions no_release_options = options;
  no_release_options.incident.length = std::min(25 * kSecond, incident.length);
  RigResult without_release = play(no_release_options);
  print("no release", no_release_options, without_release);

  RigOptions batch_options = no_release_options;
  batch_options.fixed_batch_restarts = true;
  RigResult batches = play(batch_options);
  print("fixed batches", batch_options, batches);

  constexpr Defect kDefects[] = {Defect::kSlow,           Defect::kNone,
                                 Defect::kSlowAfterDelay, Defect::kSlowRequestClass,
                                 Defect::kLost,           Defect::kSlowUnderLoad};
  int next_version = 2;
  for (Defect defect : kDefects)
    incident.releases.push_back(
        {.at = 2 * kSecond, .version = next_version++, .defect = defect, .instance = next_version % 3});
  RigResult rollouts = play(options);
  print("agreed", options, rollouts);

  int bad_releases = 0;
  int bad_halted = 0;
  int good_releases = 0;
  int false_halts = 0;
  double max_updated_share = 0;
  double time_ratio = 0;
  std::vector<double> rollback_times_s;
  double batch_s = static_cast<double>(incident.restart) / 1e9 + kStartToFullServiceS;
  double shortest_s =
      std::ceil(incident.nodes / std::max(1.0, incident.max_unavailable * incident.nodes)) * batch_s +
      4 * static_cast<double>(incident.soak) / 1e9;
  for (const ReleaseOutcome& release : rollouts.releases) {
    if (release.planned.defect == Defect::kNone) {
      ++good_releases;
      false_halts += release.stopped;
      if (release.outcome == "done") time_ratio = std::max(time_ratio, release.duration_s / shortest_s);
    } else {
      ++bad_releases;
      bad_halted += release.stopped && release.outcome == "taken back";
      max_updated_share = std::max(max_updated_share, release.max_updated_share);
      if (release.rollback_s > 0) rollback_times_s.push_back(release.rollback_s);
    }
  }
  std::sort(rollback_times_s.begin(), rollback_times_s.end());
  std::printf(
      "measured releases nodes=%d releases=%zu faults=%d most_out=%d allowed=%d below_most_out=%d "
      "below_allowed=%d "
      "over=%d unpermitted=%d bad_halted=%d/%d false_halts=%d/%d bad_reached_share=%.2f back_s_p99=%.1f "
      "lost=%d "
      "doubled=%d drain_violations=%d benefit_ratio=%.3f time_ratio=%.2f benefit_plain=%.3f "
      "most_out_plain=%d\n",
      incident.nodes, rollouts.releases.size(), rollouts.faults, rollouts.unavailable.max,
      rollouts.unavailable.allowed, rollouts.unavailable.service_max, rollouts.unavailable.service_allowed,
      rollouts.violations.over_budget, rollouts.violations.unpermitted_exits, bad_halted, bad_releases,
      false_halts, good_releases, max_updated_share, rollback_times_s.empty() ? 0 : rollback_times_s.back(),
      rollouts.violations.lost_requests, rollouts.violations.duplicate_runs,
      rollouts.violations.drain_violations,
      without_release.load.completed_share() > 0
          ? rollouts.load.completed_share() / without_release.load.completed_share()
          : 0,
      time_ratio, batches.load.completed_share(), batches.unavailable.max);
  return rollouts.violations.total() > 0 || bad_halted < bad_releases;
}
