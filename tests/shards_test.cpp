// Ownership of shards while servers fail and return.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Shards, ShardChangesOwnerOnlyAfterAWindowWithoutOne) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  std::set<std::size_t> shards_of_n1;
  for (std::size_t shard = 0; shard < 256; ++shard) {
    if (simulation.owner(shard) == "n1") shards_of_n1.insert(shard);
  }
  ASSERT_GT(shards_of_n1.size(), 40u);
  simulation.without_reports["n1"] = true;
  simulation.run(1500 * kMs);
  for (std::size_t shard : shards_of_n1) EXPECT_EQ(simulation.owner(shard), "");
  simulation.run(simulation.fleet.longest_deduplication_window() - kSecond);
  for (std::size_t shard : shards_of_n1) EXPECT_EQ(simulation.owner(shard), "");
  simulation.run(2 * kSecond);
  for (std::size_t shard : shards_of_n1) EXPECT_NE(simulation.owner(shard), "");
  for (std::size_t shard : shards_of_n1) EXPECT_NE(simulation.owner(shard), "n1");
}

TEST(Shards, ShardStaysClosedUntilAllProxiesHaveAppliedTheClosure) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.proxies_apply = false;
  simulation.without_reports["n1"] = true;
  simulation.run(60 * kSecond);
  std::size_t closed = simulation.router.shards().closed();
  EXPECT_GT(closed, 40u);
  simulation.proxies_apply = true;
  simulation.run(simulation.fleet.longest_deduplication_window() + kSecond);
  EXPECT_LT(simulation.router.shards().closed(), closed);
}

TEST(Shards, OwnerThatReturnsAsTheSameIncarnationGetsItsShardsAtOnce) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.without_reports["n1"] = true;
  simulation.run(1500 * kMs);
  ASSERT_GT(simulation.router.shards().closed(), 40u);
  simulation.without_reports.clear();
  simulation.run(2500 * kMs);
  EXPECT_EQ(simulation.router.shards().closed(), 0u);
}

TEST(Shards, OwnerThatReturnsAsAnotherIncarnationHasLostItsShards) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.reports["n1"].incarnation = 200;  // restarted between two reports, and warmed up
  simulation.run(300 * kMs);
  EXPECT_GT(simulation.router.shards().closed(), 40u);
  simulation.run(simulation.fleet.longest_deduplication_window() - kSecond);
  EXPECT_GT(simulation.router.shards().closed(), 40u);
  simulation.run(2 * kSecond);
  EXPECT_EQ(simulation.router.shards().closed(), 0u);
}

TEST(Shards, AllAreClosedForAWindowWithoutPersistedState) {
  FleetSimulation simulation(small_fleet(), std::nullopt, false);
  simulation.run(kSecond);
  EXPECT_EQ(simulation.router.shards().closed(), 256u);
  simulation.run(simulation.fleet.longest_deduplication_window() + kSecond);
  EXPECT_EQ(simulation.router.shards().closed(), 0u);
}

TEST(Shards, RebalancingClosesNoMoreThanMaxMigrating) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  fleet::Fleet larger_fleet = small_fleet(4);
  simulation.router.update_fleet(larger_fleet, simulation.now);
  simulation.reports["n4"] = simulation.reports["n1"];
  simulation.reports["n4"].node = "n4";
  simulation.reports["n4"].address = "127.0.0.1:4104";
  std::size_t max = 0;
  for (int i = 0; i < 1500; ++i) {
    simulation.run(100 * kMs);
    max = std::max(max, simulation.router.shards().closed());
  }
  EXPECT_LE(max, 13u);
  int shards_of_n4 = 0;
  for (std::size_t shard = 0; shard < 256; ++shard) shards_of_n4 += simulation.owner(shard) == "n4";
  EXPECT_GT(shards_of_n4, 40);
}

// Checks the invariant of shard ownership under random failures: a request that ran at one server runs at no
// other within its deduplication window. Proxies apply publications late, each after a delay of its own.
TEST(Shards, NoKeyRunsAtTwoServersWithinItsWindow) {
  std::mt19937 random(11);
  FleetSimulation simulation(small_fleet(5));
  simulation.proxies_apply = false;
  std::vector<std::shared_ptr<const PublishedSnapshot>> proxies(3);
  std::vector<Nanos> stalled_until(3);
  std::map<std::pair<std::size_t, int>, std::tuple<std::string, std::uint64_t, Nanos>>
      last_runs;  // server, incarnation and time, by key
  std::uint64_t incarnation = 1000;
  int changes = 0;
  for (int step = 0; step < 9000; ++step) {
    simulation.run(100 * kMs);
    std::uint64_t applied = ~std::uint64_t{0};
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      auto& proxy = proxies[i];
      if (random() % 400 == 0) stalled_until[i] = simulation.now + 15 * kSecond;
      if (simulation.now >= stalled_until[i] && random() % 8 == 0) proxy = simulation.router.published();
      applied = std::min(applied, proxy ? proxy->number : 0);
    }
    simulation.router.set_applied_by_all_proxies(applied);
    if (random() % 60 == 0) {
      std::string name = "n" + std::to_string(1 + random() % 5);
      switch (random() % 4) {
        case 0:
          simulation.without_reports[name] = true;
          break;
        case 1:
          if (simulation.without_reports.contains(name)) simulation.reports[name].incarnation = ++incarnation;
          simulation.without_reports.erase(name);
          break;
        case 2:
          simulation.without_reports.erase(name);
          break;
        case 3:
          simulation.reports[name].draining = !simulation.reports[name].draining;
          break;
      }
      ++changes;
    }
    for (int i = 0; i < 20; ++i) {
      const auto& proxy = proxies[random() % proxies.size()];
      if (!proxy) continue;
      std::size_t shard = random() % 256;
      int owner = proxy->snapshot.shards[shard];
      if (owner == kClosed) continue;
      std::string node = proxy->snapshot.nodes[static_cast<std::size_t>(owner)].name;
      auto key = std::make_pair(shard, static_cast<int>(random() % 2));
      auto before = last_runs.find(key);
      std::uint64_t incarnation_of_node = simulation.reports[node].incarnation;
      if (before != last_runs.end()) {
        auto [where, which, when] = before->second;
        // A server that restarts within the window recognizes the key by its store; routing is not involved.
        if (simulation.now - when < 5 * kSecond) EXPECT_EQ(where, node) << "shard " << shard;
        if (where == node && which == incarnation_of_node && simulation.now - when < 5 * kSecond)
          continue;  // a retry
      }
      last_runs[key] = {node, incarnation_of_node, simulation.now};
    }
  }
  EXPECT_GT(changes, 50);
}

}  // namespace
}  // namespace myrtlecroft::routing
