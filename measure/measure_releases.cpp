// Releases among real servers beside faults: make measure-releases. The same load and faults are played
// without a release, with good and bad versions one after the other, and with restarts in fixed batches that
// nobody agreed to. Arguments: NODES SEED SECONDS.
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
constexpr double kLoad = 0.7;  // of capacity
constexpr double kStartAndWarm =
    1.6;  // seconds from a start to full service at best: start, cold engine, dwell, ramp

void print(const char* what, const RigOptions& options, const RigResult& result) {
  std::printf(
      "%-12s nodes %d faults %3d: offered %6d completed %.4f doubled %d lost %d drain violations %d crashed "
      "%d, out by "
      "choice at most %d of %d, of one service %d of %d, over %d, unpermitted %d, other violations %d%s%s\n",
      what, options.incident.nodes, result.faults, result.load.offered, result.load.completed_share(),
      result.violations.duplicate_runs, result.violations.lost_requests, result.violations.drain_violations,
      result.violations.crashes, result.unavailable.max, result.unavailable.allowed,
      result.unavailable.service_max, result.unavailable.service_allowed, result.violations.over_budget,
      result.violations.unpermitted_exits,
      result.violations.split_owners + result.violations.stale_epochs + result.violations.lost_entries +
          result.violations.not_recovered,
      result.first_violation.empty() ? "" : "; first ",
      (result.first_violation + (result.folder.empty() ? "" : ", logs in " + result.folder)).c_str());
  for (const ReleaseOutcome& one : result.releases) {
    std::printf("  to %2d %-10s %-10s after %5.1f s, reached %.2f, back in %4.1f s%s%s\n",
                one.planned.version, name_of(one.planned.defect), one.outcome.c_str(), one.duration_s,
                one.max_updated_share, one.rollback_s, one.stopped ? "; stopped: " : "", one.reason.c_str());
  }
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** words) {
  auto number = [&](int at, int otherwise) { return count > at ? std::atoi(words[at]) : otherwise; };
  RigOptions options;
  Incident& incident = options.incident;
  incident.instances = 3;
  incident.nodes = number(1, 100);
  incident.proxies = 8;
  incident.keys_per_s = 30;
  incident.read_ms = 150;
  incident.reads_per_s = kLoad * kCores * incident.nodes / (incident.read_ms / 1000);
  incident.length = number(3, 200) * kSecond;
  incident.faults_per_s = 0.3;
  incident.zones = 4;
  incident.services = 5;
  incident.max_unavailable = 0.1;
  incident.service_max_unavailable = 0.2;
  options.seed = static_cast<unsigned>(number(2, 1));

  RigOptions without = options;
  without.incident.length = std::min(25 * kSecond, incident.length);
  RigResult calm = play(without);
  print("no release", without, calm);

  RigOptions plain = without;
  plain.fixed_batch_restarts = true;
  RigResult batches = play(plain);
  print("fixed batches", plain, batches);

  constexpr Defect kInOrder[] = {Defect::kSlow,           Defect::kNone,
                                 Defect::kSlowAfterDelay, Defect::kSlowRequestClass,
                                 Defect::kLost,           Defect::kSlowUnderLoad};
  int to = 2;
  for (Defect bad : kInOrder)
    incident.releases.push_back({.at = 2 * kSecond, .version = to++, .defect = bad, .instance = to % 3});
  RigResult agreed = play(options);
  print("agreed", options, agreed);

  int bads = 0;
  int halted = 0;
  int goods = 0;
  int false_halts = 0;
  double max_updated_share = 0;
  double time_ratio = 0;
  std::vector<double> back;
  double batch_s = static_cast<double>(incident.restart) / 1e9 + kStartAndWarm;
  double shortest =
      std::ceil(incident.nodes / std::max(1.0, incident.max_unavailable * incident.nodes)) * batch_s +
      4 * static_cast<double>(incident.soak) / 1e9;
  for (const ReleaseOutcome& one : agreed.releases) {
    if (one.planned.defect == Defect::kNone) {
      ++goods;
      false_halts += one.stopped;
      if (one.outcome == "done") time_ratio = std::max(time_ratio, one.duration_s / shortest);
    } else {
      ++bads;
      halted += one.stopped && one.outcome == "taken back";
      max_updated_share = std::max(max_updated_share, one.max_updated_share);
      if (one.rollback_s > 0) back.push_back(one.rollback_s);
    }
  }
  std::sort(back.begin(), back.end());
  std::printf(
      "measured releases nodes=%d releases=%zu faults=%d most_out=%d allowed=%d below_most_out=%d "
      "below_allowed=%d "
      "over=%d unpermitted=%d bad_halted=%d/%d false_halts=%d/%d bad_reached_share=%.2f back_s_p99=%.1f "
      "lost=%d "
      "doubled=%d drain_violations=%d benefit_ratio=%.3f time_ratio=%.2f benefit_plain=%.3f "
      "most_out_plain=%d\n",
      incident.nodes, agreed.releases.size(), agreed.faults, agreed.unavailable.max,
      agreed.unavailable.allowed, agreed.unavailable.service_max, agreed.unavailable.service_allowed,
      agreed.violations.over_budget, agreed.violations.unpermitted_exits, halted, bads, false_halts, goods,
      max_updated_share, back.empty() ? 0 : back.back(), agreed.violations.lost_requests,
      agreed.violations.duplicate_runs, agreed.violations.drain_violations,
      calm.load.completed_share() > 0 ? agreed.load.completed_share() / calm.load.completed_share() : 0,
      time_ratio, batches.load.completed_share(), batches.unavailable.max);
  return agreed.violations.total() > 0 || halted < bads;
}
