// Behaviour while the control service is cut off from most servers, or after a pause of its process.
#include <gtest/gtest.h>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Connectivity, SnapshotStaysWhenAllServersFallSilentAtOnce) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  Snapshot before = simulation.router.published()->snapshot;
  simulation.without_reports = {{"n1", true}, {"n2", true}, {"n3", true}};
  simulation.run(60 * kSecond);
  EXPECT_EQ(simulation.router.registry().view(), ConnectivityState::kPartitioned);
  EXPECT_EQ(simulation.router.published()->snapshot, before);
  simulation.without_reports.clear();
  simulation.run(5 * kSecond);
  EXPECT_EQ(simulation.router.registry().view(), ConnectivityState::kConnected);
  EXPECT_EQ(simulation.router.published()->snapshot, before);
}

// Reports that arrive during a pause are read only after the next step. That step must not take the servers
// for silent.
TEST(Connectivity, PauseOfThisProcessDoesNotCountAsSilenceOfServers) {
  FleetSimulation simulation;
  simulation.run(5 * kSecond);
  ASSERT_EQ(simulation.router.registry().view(), ConnectivityState::kConnected);
  simulation.now += 3 * kSecond;
  simulation.router.step(simulation.now);
  EXPECT_EQ(simulation.router.registry().view(), ConnectivityState::kConnected);
  for (const ServerStatus& server : simulation.router.registry().all())
    EXPECT_EQ(server.state, ServerState::kServing);
  simulation.without_reports["n1"] = true;
  simulation.run(1500 * kMs);
  EXPECT_EQ(simulation.server("n1").state, ServerState::kLost) << "silence after the pause counts";
}

TEST(Connectivity, ReportsStillCountWhilePartitioned) {
  FleetSimulation simulation(small_fleet(5));
  simulation.run(3 * kSecond);
  simulation.without_reports = {{"n1", true}, {"n2", true}, {"n3", true}};
  simulation.run(2 * kSecond);
  ASSERT_EQ(simulation.router.registry().view(), ConnectivityState::kPartitioned);
  simulation.reports["n5"].draining = true;
  simulation.run(500 * kMs);
  EXPECT_EQ(simulation.route("n5").health, Health::kDraining);
  EXPECT_EQ(simulation.route("n1").health, Health::kHealthy);
}

}  // namespace
}  // namespace myrtlecroft::routing
