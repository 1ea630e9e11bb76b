// Instances that decide as one beside faults, as real processes: make measure-agreement. Arguments: SECONDS
// NODES SEED.
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "agreement_rig.h"
#include "agreement_world.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::rehearsal;

void print(const char* what, const RigOptions& options, const RigResult& result) {
  std::printf(
      "%-22s instances %d nodes %d faults %3d: offered %6d completed %.3f runs %6d doubled %d lost %d split "
      "%d stale %d "
      "lost entries %d not back %d, %d failovers p50 %.0f p99 %.0f ms%s%s\n",
      what, options.incident.instances, options.incident.nodes, result.faults, result.load.offered,
      result.load.completed_share(), result.load.runs, result.violations.duplicate_runs,
      result.violations.lost_requests, result.violations.split_owners, result.violations.stale_epochs,
      result.violations.lost_entries, result.violations.not_recovered, result.failovers.count,
      result.failovers.p50_ms, result.failovers.p99_ms, result.first_violation.empty() ? "" : "; first ",
      (result.first_violation + (result.folder.empty() ? "" : ", logs in " + result.folder)).c_str());
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** words) {
  auto number = [&](int at, int otherwise) { return count > at ? std::atoi(words[at]) : otherwise; };
  RigOptions options;
  options.incident = {.instances = 3,
                      .nodes = number(2, 100),
                      .proxies = 8,
                      .keys_per_s = 150,
                      .length = number(1, 110) * kSecond,
                      .faults_per_s = 1.0,
                      .steps = {}};
  options.seed = static_cast<unsigned>(number(3, 1));
  RigOptions nodes_only = options;
  nodes_only.control_faults = false;
  RigResult untouched = play(nodes_only);
  print("control untouched", nodes_only, untouched);
  RigResult three = play(options);
  print("three beside faults", options, three);
  RigOptions more = options;
  more.incident.instances = 5;
  RigResult five = play(more);
  print("five beside faults", more, five);
  RigOptions before = options;
  before.replicated = false;
  before.incident.instances = 2;
  before.incident.nodes = std::min(10, before.incident.nodes);
  before.incident.length = std::min(60 * kSecond, before.incident.length);
  RigResult alone = play(before);
  print("two that decide alone", before, alone);
  int doubled = three.violations.duplicate_runs + five.violations.duplicate_runs;
  std::printf(
      "measured agreement instances=3+5 nodes=%d faults=%d failover_p50_ms=%.0f failover_p99_ms=%.0f "
      "stale_acted=%d "
      "split_owners=%d lost_entries=%d doubled=%d lost=%d not_back=%d doubled_before=%d split_before=%d "
      "benefit_ratio=%.3f\n",
      options.incident.nodes, three.faults + five.faults,
      std::max(three.failovers.p50_ms, five.failovers.p50_ms),
      std::max(three.failovers.p99_ms, five.failovers.p99_ms),
      three.violations.stale_epochs + five.violations.stale_epochs,
      three.violations.split_owners + five.violations.split_owners,
      three.violations.lost_entries + five.violations.lost_entries, doubled,
      three.violations.lost_requests + five.violations.lost_requests,
      three.violations.not_recovered + five.violations.not_recovered, alone.violations.duplicate_runs,
      alone.violations.split_owners,
      untouched.load.completed_share() > 0
          ? std::min(three.load.completed_share(), five.load.completed_share()) /
                untouched.load.completed_share()
          : 0);
  return three.violations.total() + five.violations.total() > 0;
}
