// The status of servers after reports, changes of the fleet file, loss and return.
#include <gtest/gtest.h>

#include <algorithm>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(ServerRegistry, SilentServerIsOutWithinLostAfterAndReturnsOnceItReports) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  EXPECT_EQ(simulation.route("n2").health, Health::kHealthy);
  simulation.without_reports["n2"] = true;
  simulation.run(simulation.fleet.bounds.lost_after + 300 * kMs);
  EXPECT_EQ(simulation.route("n2").health, Health::kOutOfRotation);
  EXPECT_EQ(simulation.route("n1").health, Health::kHealthy);
  simulation.without_reports.clear();
  simulation.run(kSecond);
  EXPECT_EQ(simulation.route("n2").health, Health::kOutOfRotation)
      << "before the minimum time out of rotation is over";
  simulation.run(5 * kSecond);
  EXPECT_EQ(simulation.route("n2").health, Health::kHealthy);
}

TEST(ServerRegistry, DrainedServerThatFallsSilentChangesNothing) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.reports["n2"].draining = true;
  simulation.run(500 * kMs);
  simulation.without_reports["n2"] = true;
  simulation.run(2 * kSecond);
  ASSERT_EQ(simulation.server("n2").state, ServerState::kLost);
  std::size_t published = simulation.published.size();
  std::size_t lines = simulation.lines.size();
  simulation.run(3 * kSecond);  // shorter than a deduplication window, so no shard changes its owner
  EXPECT_EQ(simulation.published.size(), published);
  EXPECT_EQ(simulation.lines.size(), lines);
}

TEST(ServerRegistry, RejectedReportsDoNotKeepAServerFromBeingLost) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.without_reports["n1"] = true;
  for (int i = 0; i < 30; ++i) {
    simulation.run(100 * kMs);
    report::LoadReport report = simulation.reports["n1"];
    report.sequence += 100 + static_cast<std::uint64_t>(i);
    report.sent_unix = simulation.now + kSecond * 3600;
    EXPECT_EQ(simulation.router.handle_report(report, simulation.now, simulation.now),
              ServerRegistry::Verdict::kClockAhead);
    report.sent_unix = simulation.now;
    report.address = "127.0.0.1:9999";
    EXPECT_EQ(simulation.router.handle_report(report, simulation.now, simulation.now),
              ServerRegistry::Verdict::kAddressMismatch);
    report.node = "stranger";
    EXPECT_EQ(simulation.router.handle_report(report, simulation.now, simulation.now),
              ServerRegistry::Verdict::kUnknownNode);
  }
  EXPECT_EQ(simulation.server("n1").state, ServerState::kLost);
  report::LoadReport old = simulation.reports["n2"];
  old.incarnation -= 1;
  EXPECT_EQ(simulation.router.handle_report(old, simulation.now, simulation.now),
            ServerRegistry::Verdict::kStale);
  EXPECT_EQ(simulation.router.handle_report(simulation.reports["n2"], simulation.now, simulation.now),
            ServerRegistry::Verdict::kStale);
}

TEST(ServerRegistry, ServerAddedToTheFleetFileIsServingOnceItReports) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  fleet::Fleet larger_fleet = small_fleet(4);
  simulation.router.update_fleet(larger_fleet, simulation.now);
  simulation.run(kSecond);
  EXPECT_EQ(simulation.route("n4").health, Health::kOutOfRotation);
  simulation.reports["n4"] = simulation.reports["n1"];
  simulation.reports["n4"].node = "n4";
  simulation.reports["n4"].address = "127.0.0.1:4104";
  simulation.run(3 * kSecond);
  EXPECT_EQ(simulation.route("n4").health, Health::kHealthy);
}

TEST(ServerRegistry, ServerAtAnotherAddressIsAnotherServer) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  fleet::Fleet moved = small_fleet();
  moved.nodes[0].port = 5000;
  simulation.router.update_fleet(moved, simulation.now);
  simulation.run(kSecond);
  EXPECT_EQ(simulation.route("n1").health, Health::kOutOfRotation) << "the reports come from the old address";
  for (std::size_t shard = 0; shard < 256; ++shard) EXPECT_NE(simulation.owner(shard), "n1");
}

TEST(ServerRegistry, ServerIsFoundByNameAndAddressAfterAnotherFleetFile) {
  FleetSimulation simulation;
  std::rotate(simulation.fleet.nodes.begin(), simulation.fleet.nodes.begin() + 1,
              simulation.fleet.nodes.end());
  simulation.fleet.nodes[0].port = 4999;  // n2
  std::uint64_t layout_generation = simulation.router.registry().layout_generation();
  simulation.router.update_fleet(simulation.fleet, simulation.now);
  const ServerRegistry& servers = simulation.router.registry();
  EXPECT_NE(servers.layout_generation(), layout_generation);
  EXPECT_EQ(servers.index_of("n1"), 2);
  EXPECT_EQ(servers.index_of("n9"), -1);
  ASSERT_TRUE(servers.server_at_address("127.0.0.1:4999"));
  EXPECT_EQ(servers.server_at_address("127.0.0.1:4999")->node.name, "n2");
  EXPECT_EQ(servers.server_at_address("127.0.0.1:4102"), nullptr);
}

}  // namespace
}  // namespace myrtlecroft::routing
