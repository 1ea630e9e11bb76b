// Replicas, servers and proxies in virtual time, with faults.
#include <gtest/gtest.h>

#include "agreement_world.h"

namespace myrtlecroft::agreement {
namespace {

// A few seeds of what `make measure-agreement_sim` plays by the thousand.
TEST(SimulatedReplicasTest, NothingIsDecidedTwiceUnderAnyFault) {
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

// Seeds in which a folder is put back from an older copy while the others run.
TEST(SimulatedReplicasTest, FolderRestoredFromAnOlderCopyIsDetected) {
  int refused = 0;
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    rehearsal::SimulationOptions options;
    options.seed = seed;
    options.instances = 5;
    options.faults_per_s = 1;
    rehearsal::SimulationResult result = rehearsal::Simulation(options).play();
    EXPECT_EQ(result.violations(), 0) << result.first;
    refused += result.rejected_old_folders;
  }
  EXPECT_GT(refused, 0);
}

TEST(SimulatedReplicasTest, SameSeedGivesTheSameRun) {
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
