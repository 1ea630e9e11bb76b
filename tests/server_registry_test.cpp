// What the registry knows of servers: reports, the fleet file, loss and return.
#include <gtest/gtest.h>

#include <algorithm>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(ServerRegistry, SilentServerIsOutWithinLostAfterAndReturnsOnceItReports) {
  FleetWorld world;
  world.run(3 * kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kHealthy);
  world.without_reports["n2"] = true;
  world.run(world.fleet.bounds.lost_after + 300 * kMs);
  EXPECT_EQ(world.route("n2").health, Health::kOutOfRotation);
  EXPECT_EQ(world.route("n1").health, Health::kHealthy);
  world.without_reports.clear();
  world.run(kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kOutOfRotation) << "before its dwell is over";
  world.run(5 * kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kHealthy);
}

TEST(ServerRegistry, DrainedServerThatFallsSilentChangesNothing) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.reports["n2"].draining = true;
  world.run(500 * kMs);
  world.without_reports["n2"] = true;
  world.run(2 * kSecond);
  ASSERT_EQ(world.server("n2").state, ServerState::kLost);
  std::size_t published = world.published.size();
  std::size_t lines = world.lines.size();
  world.run(3 * kSecond);  // shorter than a window: owners do not move meanwhile
  EXPECT_EQ(world.published.size(), published);
  EXPECT_EQ(world.lines.size(), lines);
}

TEST(ServerRegistry, RejectedReportsDoNotKeepAServerFromBeingLost) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.without_reports["n1"] = true;
  for (int i = 0; i < 30; ++i) {
    world.run(100 * kMs);
    report::LoadReport report = world.reports["n1"];
    report.sequence += 100 + static_cast<std::uint64_t>(i);
    report.sent_unix = world.now + kSecond * 3600;
    EXPECT_EQ(world.router.handle_report(report, world.now, world.now), ServerRegistry::Verdict::kClockAhead);
    report.sent_unix = world.now;
    report.address = "127.0.0.1:9999";
    EXPECT_EQ(world.router.handle_report(report, world.now, world.now),
              ServerRegistry::Verdict::kAddressMismatch);
    report.node = "stranger";
    EXPECT_EQ(world.router.handle_report(report, world.now, world.now),
              ServerRegistry::Verdict::kUnknownNode);
  }
  EXPECT_EQ(world.server("n1").state, ServerState::kLost);
  report::LoadReport old = world.reports["n2"];
  old.incarnation -= 1;
  EXPECT_EQ(world.router.handle_report(old, world.now, world.now), ServerRegistry::Verdict::kStale);
  EXPECT_EQ(world.router.handle_report(world.reports["n2"], world.now, world.now),
            ServerRegistry::Verdict::kStale);
}

TEST(ServerRegistry, ServerAddedToTheFleetFileIsServingOnceItReports) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet more = small_fleet(4);
  world.router.update_fleet(more, world.now);
  world.run(kSecond);
  EXPECT_EQ(world.route("n4").health, Health::kOutOfRotation);
  world.reports["n4"] = world.reports["n1"];
  world.reports["n4"].node = "n4";
  world.reports["n4"].address = "127.0.0.1:4104";
  world.run(3 * kSecond);
  EXPECT_EQ(world.route("n4").health, Health::kHealthy);
}

TEST(ServerRegistry, ServerAtAnotherAddressIsAnotherServer) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet moved = small_fleet();
  moved.nodes[0].port = 5000;
  world.router.update_fleet(moved, world.now);
  world.run(kSecond);
  EXPECT_EQ(world.route("n1").health, Health::kOutOfRotation) << "the reports come from the old address";
  for (std::size_t shard = 0; shard < 256; ++shard) EXPECT_NE(world.owner(shard), "n1");
}

TEST(ServerRegistry, ServerIsFoundByNameAndAddressAfterAnotherFleetFile) {
  FleetWorld world;
  std::rotate(world.fleet.nodes.begin(), world.fleet.nodes.begin() + 1, world.fleet.nodes.end());
  world.fleet.nodes[0].port = 4999;  // n2
  std::uint64_t layout_generation = world.router.registry().layout_generation();
  world.router.update_fleet(world.fleet, world.now);
  const ServerRegistry& servers = world.router.registry();
  EXPECT_NE(servers.layout_generation(), layout_generation);
  EXPECT_EQ(servers.index_of("n1"), 2);
  EXPECT_EQ(servers.index_of("n9"), -1);
  ASSERT_TRUE(servers.server_at_address("127.0.0.1:4999"));
  EXPECT_EQ(servers.server_at_address("127.0.0.1:4999")->node.name, "n2");
  EXPECT_EQ(servers.server_at_address("127.0.0.1:4102"), nullptr);
}

}  // namespace
}  // namespace myrtlecroft::routing
