// Publications after a restart and from step to step.
#include <gtest/gtest.h>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Router, RestoredSnapshotIsServedUntilServersReport) {
  FleetSimulation first;
  first.run(3 * kSecond);
  first.reports["n2"].draining = true;
  first.run(3 * kSecond);
  PersistedState persisted = first.router.persisted_state();
  FleetSimulation second(small_fleet(), persisted, false);
  second.without_reports = {{"n1", true}, {"n2", true}, {"n3", true}};
  second.run(60 * kSecond);
  ASSERT_TRUE(second.router.published());
  EXPECT_EQ(second.router.published()->snapshot, first.router.published()->snapshot);
  EXPECT_EQ(second.published.size(), 1u);
}

TEST(Router, RestoredSnapshotLosesOnlyServersThatTheFleetFileNoLongerNames) {
  FleetSimulation first;
  first.run(3 * kSecond);
  fleet::Fleet smaller_fleet = small_fleet();
  smaller_fleet.nodes.erase(smaller_fleet.nodes.begin() + 1);
  FleetSimulation second(smaller_fleet, first.router.persisted_state(), false);
  second.without_reports = {{"n1", true}, {"n3", true}};
  second.run(kSecond);
  EXPECT_EQ(second.route("n1").health, Health::kHealthy);
  EXPECT_EQ(second.route("n2").health, Health::kOutOfRotation);
  for (std::size_t shard = 0; shard < 256; ++shard) EXPECT_NE(second.owner(shard), "n2");
}

TEST(Router, LastSnapshotStaysWhenAllServersDrain) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  for (auto& [name, report] : simulation.reports) report.draining = true;
  simulation.run(5 * kSecond);
  EXPECT_EQ(find_error(simulation.router.published()->snapshot), std::nullopt);
  EXPECT_TRUE(simulation.logged("snapshot rejected"));
}

TEST(Router, SmallChangesOfAWindowAreNotPublished) {
  FleetSimulation simulation;
  simulation.run(5 * kSecond);
  std::size_t before = simulation.published.size();
  for (int i = 0; i < 20; ++i) {
    simulation.reports["n1"].window = 20 + static_cast<std::uint32_t>(i % 3);
    simulation.run(300 * kMs);
  }
  EXPECT_EQ(simulation.published.size(), before);
  simulation.reports["n1"].window = 60;
  simulation.run(300 * kMs);
  EXPECT_EQ(simulation.published.size(), before + 1);
}

}  // namespace
}  // namespace myrtlecroft::routing
