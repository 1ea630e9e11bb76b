// What control does while it is cut off from most servers, or stood still itself.
#include <gtest/gtest.h>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Connectivity, SnapshotStaysWhenAllServersFallSilentAtOnce) {
  FleetWorld world;
  world.run(3 * kSecond);
  Snapshot before = world.router.published()->snapshot;
  world.without_reports = {{"n1", true}, {"n2", true}, {"n3", true}};
  world.run(60 * kSecond);
  EXPECT_EQ(world.router.registry().view(), ConnectivityState::kPartitioned);
  EXPECT_EQ(world.router.published()->snapshot, before);
  world.without_reports.clear();
  world.run(5 * kSecond);
  EXPECT_EQ(world.router.registry().view(), ConnectivityState::kConnected);
  EXPECT_EQ(world.router.published()->snapshot, before);
}

// Reports that arrived meanwhile are read only after the step that follows the pause.
TEST(Connectivity, PauseOfThisProcessCountsAsNoServersSilence) {
  FleetWorld world;
  world.run(5 * kSecond);
  ASSERT_EQ(world.router.registry().view(), ConnectivityState::kConnected);
  world.now += 3 * kSecond;
  world.router.step(world.now);
  EXPECT_EQ(world.router.registry().view(), ConnectivityState::kConnected);
  for (const ServerStatus& server : world.router.registry().all())
    EXPECT_EQ(server.state, ServerState::kServing);
  world.without_reports["n1"] = true;
  world.run(1500 * kMs);
  EXPECT_EQ(world.server("n1").state, ServerState::kLost) << "later silence counts";
}

TEST(Connectivity, ReportsStillCountWhilePartitioned) {
  FleetWorld world(small_fleet(5));
  world.run(3 * kSecond);
  world.without_reports = {{"n1", true}, {"n2", true}, {"n3", true}};
  world.run(2 * kSecond);
  ASSERT_EQ(world.router.registry().view(), ConnectivityState::kPartitioned);
  world.reports["n5"].draining = true;
  world.run(500 * kMs);
  EXPECT_EQ(world.route("n5").health, Health::kDraining);
  EXPECT_EQ(world.route("n1").health, Health::kHealthy);
}

}  // namespace
}  // namespace myrtlecroft::routing
