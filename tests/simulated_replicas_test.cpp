// Replicas, servers and proxies in virtual time, with faults.
#include <gtest/gtest.h>

#include "agreement_world.h"

namespace myrtlecroft::agreement {
namespace {

// A few seeds of the simulation that `make measure-agreement_sim` runs with thousands.
TEST(SimulatedReplicasTest, InvariantsHoldUnderFaults) {
  for (std::uint32_t seed = 1; seed <= 16; ++seed) {
    rehearsal::SimulationOptions options;
    options.seed = seed;
    options.instances = seed % 2 ? 3 : 5;
    rehearsal::SimulationResult result = rehearsal::Simulation(options).play();
    EXPECT_EQ(result.violations(), 0) << result.first;
    EXPECT_EQ(result.invalid_proposals, 0) << "seed " << seed;
    EXPECT_GT(result.runs, 500u) << "seed " << seed;
  }
}

// Seeds in which a storage folder is restored from an older copy while the other replicas run.
TEST(SimulatedReplicasTest, FolderRestoredFromAnOlderCopyIsDetected) {
  int rejected_folders = 0;
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    rehearsal::SimulationOptions options;
    options.seed = seed;
    options.instances = 5;
    options.faults_per_s = 1;
    rehearsal::SimulationResult result = rehearsal::Simulation(options).play();
    EXPECT_EQ(result.violations(), 0) << result.first;
    rejected_folders += result.rejected_old_folders;
  }
  EXPECT_GT(rejected_folders, 0);
}

TEST(SimulatedReplicasTest, SimulationIsDeterministicForASeed) {
  rehearsal::SimulationOptions options;
  options.seed = 11;
  rehearsal::SimulationResult first = rehearsal::Simulation(options).play();
  rehearsal::SimulationResult second = rehearsal::Simulation(options).play();
  EXPECT_EQ(first.decisions, second.decisions);
  EXPECT_EQ(first.runs, second.runs);
  EXPECT_EQ(first.rejected, second.rejected);
}

}  // namespace
}  // namespace myrtlecroft::agreement
