// Measures replicated control under faults with real processes (make measure-agreement): servers' faults
// only, three and five replicas under all faults, and two control services that each decide alone, for
// comparison. Arguments: SECONDS NODES SEED.
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "agreement_rig.h"
#include "agreement_world.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::rehearsal;

void print(const char* label, const RigOptions& options, const RigResult& result) {
  std::printf(
      "%-22s instances %d nodes %d faults %3d: offered %6d completed %.3f runs %6d doubled %d lost %d split "
      "%d stale %d "
      "lost entries %d not back %d, %d failovers p50 %.0f p99 %.0f ms%s%s\n",
      label, options.incident.instances, options.incident.nodes, result.faults, result.load.offered,
      result.load.completed_share(), result.load.runs, result.violations.duplicate_runs,
      result.violations.lost_requests, result.violations.split_owners, result.violations.stale_epochs,
      result.violations.lost_entries, result.violations.not_recovered, result.failovers.count,
      result.failovers.p50_ms, result.failovers.p99_ms, result.first_violation.empty() ? "" : "; first ",
      (result.first_violation + (result.folder.empty() ? "" : ", logs in " + result.folder)).c_str());
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** arguments) {
  auto argument_or = [&](int index, int fallback) {
    return count > index ? std::atoi(arguments[index]) : fallback;
  };
  RigOptions options;
  options.incident = {.instances = 3,
                      .nodes = argument_or(2, 100),
                      .proxies = 8,
                      .keys_per_s = 150,
                      .length = argument_or(1, 110) * kSecond,
                      .faults_per_s = 1.0,
                      .steps = {}};
  options.seed = static_cast<unsigned>(argument_or(3, 1));
  RigOptions server_faults_only = options;
  server_faults_only.control_faults = false;
  RigResult without_control_faults = play(server_faults_only);
  print("no control faults", server_faults_only, without_control_faults);
  RigResult three_replicas = play(options);
  print("three under faults", options, three_replicas);
  RigOptions five_options = options;
  five_options.incident.instances = 5;
  RigResult five_replicas = play(five_options);
  print("five under faults", five_options, five_replicas);
  RigOptions independent_options = options;
  independent_options.replicated = false;
  independent_options.incident.instances = 2;
  independent_options.incident.nodes = std::min(10, independent_options.incident.nodes);
  independent_options.incident.length = std::min(60 * kSecond, independent_options.incident.length);
  RigResult independent = play(independent_options);
  print("two independent", independent_options, independent);
  int duplicate_runs = three_replicas.violations.duplicate_runs + five_replicas.violations.duplicate_runs;
  std::printf(
      "measured agreement instances=3+5 nodes=%d faults=%d failover_p50_ms=%.0f failover_p99_ms=%.0f "
      "stale_acted=%d "
      "split_owners=%d lost_entries=%d doubled=%d lost=%d not_back=%d doubled_before=%d split_before=%d "
      "benefit_ratio=%.3f\n",
      options.incident.nodes, three_replicas.faults + five_replicas.faults,
      std::max(three_replicas.failovers.p50_ms, five_replicas.failovers.p50_ms),
      std::max(three_replicas.failovers.p99_ms, five_replicas.failovers.p99_ms),
      three_replicas.violations.stale_epochs + five_replicas.violations.stale_epochs,
      three_replicas.violations.split_owners + five_replicas.violations.split_owners,
      three_replicas.violations.lost_entries + five_replicas.violations.lost_entries, duplicate_runs,
      three_replicas.violations.lost_requests + five_replicas.violations.lost_requests,
      three_replicas.violations.not_recovered + five_replicas.violations.not_recovered,
      independent.violations.duplicate_runs, independent.violations.split_owners,
      without_control_faults.load.completed_share() > 0
          ? std::min(three_replicas.load.completed_share(), five_replicas.load.completed_share()) /
                without_control_faults.load.completed_share()
          : 0);
  return three_replicas.violations.total() + five_replicas.violations.total() > 0;
}
