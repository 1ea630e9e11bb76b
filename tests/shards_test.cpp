// Which server may run requests with an idempotency key, while servers fail and return.
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
  FleetWorld world;
  world.run(3 * kSecond);
  std::set<std::size_t> of_n1;
  for (std::size_t shard = 0; shard < 256; ++shard) {
    if (world.owner(shard) == "n1") of_n1.insert(shard);
  }
  ASSERT_GT(of_n1.size(), 40u);
  world.without_reports["n1"] = true;
  world.run(1500 * kMs);
  for (std::size_t shard : of_n1) EXPECT_EQ(world.owner(shard), "");
  world.run(world.fleet.longest_deduplication_window() - kSecond);
  for (std::size_t shard : of_n1) EXPECT_EQ(world.owner(shard), "");
  world.run(2 * kSecond);
  for (std::size_t shard : of_n1) EXPECT_NE(world.owner(shard), "");
  for (std::size_t shard : of_n1) EXPECT_NE(world.owner(shard), "n1");
}

TEST(Shards, ShardStaysClosedUntilAllProxiesHaveAppliedTheClosure) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.proxies_apply = false;
  world.without_reports["n1"] = true;
  world.run(60 * kSecond);
  std::size_t closed = world.router.shards().closed();
  EXPECT_GT(closed, 40u);
  world.proxies_apply = true;
  world.run(world.fleet.longest_deduplication_window() + kSecond);
  EXPECT_LT(world.router.shards().closed(), closed);
}

TEST(Shards, OwnerThatReturnsAsTheSameIncarnationGetsItsShardsAtOnce) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.without_reports["n1"] = true;
  world.run(1500 * kMs);
  ASSERT_GT(world.router.shards().closed(), 40u);
  world.without_reports.clear();
  world.run(2500 * kMs);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, OwnerThatReturnsAsAnotherIncarnationHasLostItsShards) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.reports["n1"].incarnation = 200;  // restarted between two reports, and warmed up
  world.run(300 * kMs);
  EXPECT_GT(world.router.shards().closed(), 40u);
  world.run(world.fleet.longest_deduplication_window() - kSecond);
  EXPECT_GT(world.router.shards().closed(), 40u);
  world.run(2 * kSecond);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, AllAreClosedForAWindowWithoutPersistedState) {
  FleetWorld world(small_fleet(), std::nullopt, false);
  world.run(kSecond);
  EXPECT_EQ(world.router.shards().closed(), 256u);
  world.run(world.fleet.longest_deduplication_window() + kSecond);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, RebalancingClosesNoMoreThanMaxMigrating) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet more = small_fleet(4);
  world.router.update_fleet(more, world.now);
  world.reports["n4"] = world.reports["n1"];
  world.reports["n4"].node = "n4";
  world.reports["n4"].address = "127.0.0.1:4104";
  std::size_t max = 0;
  for (int i = 0; i < 1500; ++i) {
    world.run(100 * kMs);
    max = std::max(max, world.router.shards().closed());
  }
  EXPECT_LE(max, 13u);
  int of_n4 = 0;
  for (std::size_t shard = 0; shard < 256; ++shard) of_n4 += world.owner(shard) == "n4";
  EXPECT_GT(of_n4, 40);
}

// The rule itself, under a random fleet: a request that ran at a server runs at no other within its window.
// Proxies apply what is published late, each in its own time.
TEST(Shards, NoKeyRunsAtTwoServersWithinItsWindow) {
  std::mt19937 random(11);
  FleetWorld world(small_fleet(5));
  world.proxies_apply = false;
  std::vector<std::shared_ptr<const PublishedSnapshot>> proxies(3);
  std::vector<Nanos> stalled_until(3);
  std::map<std::pair<std::size_t, int>, std::tuple<std::string, std::uint64_t, Nanos>> ran;  // of a key
  std::uint64_t incarnation = 1000;
  int changes = 0;
  for (int step = 0; step < 9000; ++step) {
    world.run(100 * kMs);
    std::uint64_t applied = ~std::uint64_t{0};
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      auto& proxy = proxies[i];
      if (random() % 400 == 0) stalled_until[i] = world.now + 15 * kSecond;
      if (world.now >= stalled_until[i] && random() % 8 == 0) proxy = world.router.published();
      applied = std::min(applied, proxy ? proxy->number : 0);
    }
    world.router.set_applied_by_all_proxies(applied);
    if (random() % 60 == 0) {
      std::string name = "n" + std::to_string(1 + random() % 5);
      switch (random() % 4) {
        case 0:
          world.without_reports[name] = true;
          break;
        case 1:
          if (world.without_reports.contains(name)) world.reports[name].incarnation = ++incarnation;
          world.without_reports.erase(name);
          break;
        case 2:
          world.without_reports.erase(name);
          break;
        case 3:
          world.reports[name].draining = !world.reports[name].draining;
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
      auto before = ran.find(key);
      std::uint64_t its_incarnation = world.reports[node].incarnation;
      if (before != ran.end()) {
        auto [where, which, when] = before->second;
        // An incarnation that ends within the window is the server's own matter (its store), not routing's.
        if (world.now - when < 5 * kSecond) EXPECT_EQ(where, node) << "shard " << shard;
        if (where == node && which == its_incarnation && world.now - when < 5 * kSecond) continue;  // a retry
      }
      ran[key] = {node, its_incarnation, world.now};
    }
  }
  EXPECT_GT(changes, 50);
}

}  // namespace
}  // namespace myrtlecroft::routing
