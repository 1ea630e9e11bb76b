// Routing decisions: who is in, by how much, who owns which keys, under what fails in a fleet.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "routing/retry_policy.h"
#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(ServerRegistry, OneThatFallsSilentIsOutInTheStatedTimeAndBackWhenItReports) {
  FleetWorld world;
  world.run(3 * kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kHealthy);
  world.quiet["n2"] = true;
  world.run(world.fleet.bounds.lost_after + 300 * kMs);
  EXPECT_EQ(world.route("n2").health, Health::kOut);
  EXPECT_EQ(world.route("n1").health, Health::kHealthy);
  world.quiet.clear();
  world.run(kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kOut) << "before it was out for its least time";
  world.run(5 * kSecond);
  EXPECT_EQ(world.route("n2").health, Health::kHealthy);
}

TEST(ServerRegistry, OneThatHasLeftIsSilentAndNothingChangesAnyMore) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.reports["n2"].draining = true;
  world.run(500 * kMs);
  world.quiet["n2"] = true;
  world.run(2 * kSecond);
  ASSERT_EQ(world.server("n2").state, ServerState::kLost);
  std::size_t published = world.published.size();
  std::size_t lines = world.lines.size();
  world.run(3 * kSecond);  // shorter than a window: owners do not move meanwhile
  EXPECT_EQ(world.published.size(), published);
  EXPECT_EQ(world.lines.size(), lines);
}

TEST(ServerRegistry, AllSilentAtOnceIsOurOwnIsolationAndNothingChanges) {
  FleetWorld world;
  world.run(3 * kSecond);
  Snapshot before = world.router.published()->snapshot;
  world.quiet = {{"n1", true}, {"n2", true}, {"n3", true}};
  world.run(60 * kSecond);
  EXPECT_EQ(world.router.registry().view(), View::kPartitioned);
  EXPECT_EQ(world.router.published()->snapshot, before);
  world.quiet.clear();
  world.run(5 * kSecond);
  EXPECT_EQ(world.router.registry().view(), View::kConnected);
  EXPECT_EQ(world.router.published()->snapshot, before);
}

// Reports that came meanwhile are read only after the step that follows: it took all of the fleet for silent.
TEST(ServerRegistry, APauseOfOurOwnIsNobodysSilence) {
  FleetWorld world;
  world.run(5 * kSecond);
  ASSERT_EQ(world.router.registry().view(), View::kConnected);
  world.now += 3 * kSecond;
  world.router.step(world.now);
  EXPECT_EQ(world.router.registry().view(), View::kConnected);
  for (const ServerStatus& server : world.router.registry().all())
    EXPECT_EQ(server.state, ServerState::kServing);
  world.quiet["n1"] = true;
  world.run(1500 * kMs);
  EXPECT_EQ(world.server("n1").state, ServerState::kLost) << "silence after it counts as ever";
}

TEST(ServerRegistry, IsolationLeavesTheWordOfThoseStillHeard) {
  FleetWorld world(small_fleet(5));
  world.run(3 * kSecond);
  world.quiet = {{"n1", true}, {"n2", true}, {"n3", true}};
  world.run(2 * kSecond);
  ASSERT_EQ(world.router.registry().view(), View::kPartitioned);
  world.reports["n5"].draining = true;
  world.run(500 * kMs);
  EXPECT_EQ(world.route("n5").health, Health::kDraining);
  EXPECT_EQ(world.route("n1").health, Health::kHealthy);
}

TEST(ServerRegistry, OneThatTakesExchangesAndAnswersNoneIsOutThoughItReportsWell) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.hung["n3"] = true;
  world.run(2500 * kMs);
  EXPECT_EQ(world.server("n3").state, ServerState::kUnresponsive);
  EXPECT_EQ(world.route("n3").health, Health::kOut);
}

TEST(ServerRegistry, ProxiesThatGetNoAnswersCountMoreThanItsReports) {
  FleetWorld world;
  world.run(3 * kSecond);
  for (int i = 0; i < 30; ++i) {
    world.run(100 * kMs);
    world.router.handle_proxy_counts({.node = "n1", .issued = 5, .succeeded = 5}, world.now);
    world.router.handle_proxy_counts({.node = "n2", .issued = 5, .succeeded = 0, .failed = 5}, world.now);
  }
  EXPECT_EQ(world.server("n2").state, ServerState::kUnresponsive);
  EXPECT_EQ(world.server("n1").state, ServerState::kServing);
}

TEST(ServerRegistry, ProxiesThatSeeOnlyDenialsOfANodeThatSaysSoTakeNothingOut) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.denies["n2"] = 2;
  for (int i = 0; i < 30; ++i) {
    world.run(100 * kMs);
    world.router.handle_proxy_counts({.node = "n2", .issued = 5, .succeeded = 0, .failed = 5}, world.now);
  }
  EXPECT_EQ(world.server("n2").state, ServerState::kServing);
}

TEST(ServerRegistry, NoMoreThanTheStatedShareIsOutByChoice) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.hung = {{"n1", true}, {"n2", true}};
  world.run(20 * kSecond);
  int out = 0;
  for (const ServerStatus& server : world.router.registry().all()) out += !server.in_service();
  EXPECT_EQ(out, 1);
  EXPECT_TRUE(world.logged("is kept in"));
  world.hung = {{"n1", true}};
  world.run(30 * kSecond);
  EXPECT_EQ(world.server("n2").state, ServerState::kServing);
  EXPECT_FALSE(world.server("n1").in_service() && !world.server("n1").kept_in_rotation &&
               world.server("n1").state == ServerState::kServing);
}

TEST(ServerRegistry, OneThatFlapsStaysOutForLongerEachTime) {
  FleetWorld world;
  world.run(3 * kSecond);
  std::vector<Nanos> outs;
  for (int round = 0; round < 4; ++round) {
    world.reports["n1"].mode = Mode::kStalled;
    world.run(500 * kMs);
    ASSERT_EQ(world.server("n1").state, ServerState::kUnhealthy);
    world.reports["n1"].mode = Mode::kServing;
    Nanos began = world.now;
    while (!world.server("n1").in_service() && world.now - began < 60 * kSecond) world.run(100 * kMs);
    outs.push_back(world.now - began);
  }
  EXPECT_GT(outs[2], outs[1]);
  EXPECT_GT(outs[3], outs[2]);
  world.run(120 * kSecond);
  EXPECT_EQ(world.server("n1").flaps, 0) << "forgiven after a calm time";
}

TEST(ServerRegistry, AColdOneComesInByDegrees) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.quiet["n1"] = true;
  world.run(4 * kSecond);
  world.quiet.clear();
  world.reports["n1"].incarnation = 200;
  world.reports["n1"].warming_up = true;
  std::uint32_t last = 0;
  std::set<std::uint32_t> steps;
  for (int i = 0; i < 150; ++i) {
    world.run(100 * kMs);
    if (i == 110) world.reports["n1"].warming_up = false;
    std::uint32_t weight = world.route("n1").weight;
    if (last > 0 && weight > 0) EXPECT_LE(weight, last + 10) << "no jump";
    last = weight;
    steps.insert(weight);
  }
  EXPECT_GT(steps.size(), 8u);
  EXPECT_EQ(world.server("n1").state, ServerState::kServing);
  EXPECT_EQ(last, 100u);
}

TEST(ServerRegistry, OneThatIsPressedHarderGetsLessAtABoundedSpeed) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.denies["n3"] = 1;
  world.reports["n3"].held = 20;
  std::uint32_t before = world.route("n3").weight;
  world.run(kSecond);
  EXPECT_GE(world.route("n3").weight, before - 25);
  world.run(5 * kSecond);
  EXPECT_LT(world.route("n3").weight, 50u);
  EXPECT_GE(world.route("n3").weight, 10u) << "never below its floor";
  EXPECT_EQ(world.route("n1").weight, 100u);
  world.denies.clear();
  world.reports["n3"].held = 0;
  world.run(30 * kSecond);
  EXPECT_EQ(world.route("n3").weight, 100u);
}

TEST(ServerRegistry, ReportsThatMakeNoSenseAreNoSignOfLife) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.quiet["n1"] = true;
  for (int i = 0; i < 30; ++i) {
    world.run(100 * kMs);
    report::LoadReport told = world.reports["n1"];
    told.sequence += 100 + static_cast<std::uint64_t>(i);
    told.sent_unix = world.now + kSecond * 3600;
    EXPECT_EQ(world.router.handle_report(told, world.now, world.now), ServerRegistry::Verdict::kFuture);
    told.sent_unix = world.now;
    told.address = "127.0.0.1:9999";
    EXPECT_EQ(world.router.handle_report(told, world.now, world.now), ServerRegistry::Verdict::kOtherAddress);
    told.node = "stranger";
    EXPECT_EQ(world.router.handle_report(told, world.now, world.now), ServerRegistry::Verdict::kUnknownNode);
  }
  EXPECT_EQ(world.server("n1").state, ServerState::kLost);
  report::LoadReport old = world.reports["n2"];
  old.incarnation -= 1;
  EXPECT_EQ(world.router.handle_report(old, world.now, world.now), ServerRegistry::Verdict::kStale);
  EXPECT_EQ(world.router.handle_report(world.reports["n2"], world.now, world.now),
            ServerRegistry::Verdict::kStale);
}

TEST(ServerRegistry, OneThatIsNewToTheFileIsLetInOnceItReports) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet more = small_fleet(4);
  world.router.fleet_changed(more, world.now);
  world.run(kSecond);
  EXPECT_EQ(world.route("n4").health, Health::kOut);
  world.reports["n4"] = world.reports["n1"];
  world.reports["n4"].node = "n4";
  world.reports["n4"].address = "127.0.0.1:4104";
  world.run(3 * kSecond);
  EXPECT_EQ(world.route("n4").health, Health::kHealthy);
}

TEST(ServerRegistry, TheSameNameAtAnotherAddressIsAnotherNode) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet moved = small_fleet();
  moved.nodes[0].port = 5000;
  world.router.fleet_changed(moved, world.now);
  world.run(kSecond);
  EXPECT_EQ(world.route("n1").health, Health::kOut) << "what still reports is at the old address";
  for (std::size_t shard = 0; shard < 256; ++shard) EXPECT_NE(world.owner(shard), "n1");
}

// ---- After a restart

TEST(Router, WithNoReportsWhatWasServedIsServedOn) {
  FleetWorld first;
  first.run(3 * kSecond);
  first.reports["n2"].draining = true;
  first.run(3 * kSecond);
  PersistedState memory = first.router.persisted_state();
  FleetWorld second(small_fleet(), memory, false);
  second.quiet = {{"n1", true}, {"n2", true}, {"n3", true}};
  second.run(60 * kSecond);
  ASSERT_TRUE(second.router.published());
  EXPECT_EQ(second.router.published()->snapshot, first.router.published()->snapshot);
  EXPECT_EQ(second.published.size(), 1u);
}

TEST(Router, AnotherFleetFileAfterARestartTakesNothingFromThoseThatStay) {
  FleetWorld first;
  first.run(3 * kSecond);
  fleet::Fleet fewer = small_fleet();
  fewer.nodes.erase(fewer.nodes.begin() + 1);
  FleetWorld second(fewer, first.router.persisted_state(), false);
  second.quiet = {{"n1", true}, {"n3", true}};
  second.run(kSecond);
  EXPECT_EQ(second.route("n1").health, Health::kHealthy);
  EXPECT_EQ(second.route("n2").health, Health::kOut);
  for (std::size_t shard = 0; shard < 256; ++shard) EXPECT_NE(second.owner(shard), "n2");
}

TEST(Router, NothingIsEmptiedWhenAllNodesLeave) {
  FleetWorld world;
  world.run(3 * kSecond);
  for (auto& [name, told] : world.reports) told.draining = true;
  world.run(5 * kSecond);
  EXPECT_EQ(find_error(world.router.published()->snapshot), std::nullopt);
  EXPECT_TRUE(world.logged("snapshot rejected"));
}

// ---- Keys

TEST(Shards, AnOwnersKeysGoElsewhereOnlyAfterAWindowInWhichNobodyHasThem) {
  FleetWorld world;
  world.run(3 * kSecond);
  std::set<std::size_t> of_n1;
  for (std::size_t shard = 0; shard < 256; ++shard) {
    if (world.owner(shard) == "n1") of_n1.insert(shard);
  }
  ASSERT_GT(of_n1.size(), 40u);
  world.quiet["n1"] = true;
  world.run(1500 * kMs);
  for (std::size_t shard : of_n1) EXPECT_EQ(world.owner(shard), "");
  world.run(world.fleet.longest_window() - kSecond);
  for (std::size_t shard : of_n1) EXPECT_EQ(world.owner(shard), "");
  world.run(2 * kSecond);
  for (std::size_t shard : of_n1) EXPECT_NE(world.owner(shard), "");
  for (std::size_t shard : of_n1) EXPECT_NE(world.owner(shard), "n1");
}

TEST(Shards, AProxyThatHasNotAppliedTheClosureHoldsTheMoveUp) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.follow = false;
  world.quiet["n1"] = true;
  world.run(60 * kSecond);
  std::size_t closed = world.router.shards().closed();
  EXPECT_GT(closed, 40u);
  world.follow = true;
  world.run(world.fleet.longest_window() + kSecond);
  EXPECT_LT(world.router.shards().closed(), closed);
}

TEST(Shards, AnOwnerThatComesBackAsTheSameLifeHasItsKeysAtOnce) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.quiet["n1"] = true;
  world.run(1500 * kMs);
  ASSERT_GT(world.router.shards().closed(), 40u);
  world.quiet.clear();
  world.run(2500 * kMs);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, AnOwnerThatComesBackAsAnotherLifeHasLostThem) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.reports["n1"].incarnation = 200;  // restarted between two reports, and warm
  world.run(300 * kMs);
  EXPECT_GT(world.router.shards().closed(), 40u);
  world.run(world.fleet.longest_window() - kSecond);
  EXPECT_GT(world.router.shards().closed(), 40u);
  world.run(2 * kSecond);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, WithoutMemoryAllAreClosedForAWindow) {
  FleetWorld world(small_fleet(), std::nullopt, false);
  world.run(kSecond);
  EXPECT_EQ(world.router.shards().closed(), 256u);
  world.run(world.fleet.longest_window() + kSecond);
  EXPECT_EQ(world.router.shards().closed(), 0u);
}

TEST(Shards, EveningOutClosesFewAtATime) {
  FleetWorld world;
  world.run(3 * kSecond);
  fleet::Fleet more = small_fleet(4);
  world.router.fleet_changed(more, world.now);
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

// The rule itself, under a random fleet: an request that ran at a server within its window runs nowhere else.
// Proxies apply what is published late, each in its own time.
TEST(Shards, NoKeyRunsAtTwoLivesWithinItsWindow) {
  std::mt19937 random(11);
  FleetWorld world(small_fleet(5));
  world.follow = false;
  std::vector<std::shared_ptr<const PublishedSnapshot>> proxies(3);
  std::vector<Nanos> stuck_until(3);
  std::map<std::pair<std::size_t, int>, std::tuple<std::string, std::uint64_t, Nanos>> ran;  // of a key
  std::uint64_t incarnation = 1000;
  int changes = 0;
  for (int step = 0; step < 9000; ++step) {
    world.run(100 * kMs);
    std::uint64_t applied = ~std::uint64_t{0};
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      auto& proxy = proxies[i];
      if (random() % 400 == 0) stuck_until[i] = world.now + 15 * kSecond;
      if (world.now >= stuck_until[i] && random() % 8 == 0) proxy = world.router.published();
      applied = std::min(applied, proxy ? proxy->number : 0);
    }
    world.router.all_proxies_applied(applied);
    if (random() % 60 == 0) {
      std::string name = "n" + std::to_string(1 + random() % 5);
      switch (random() % 4) {
        case 0:
          world.quiet[name] = true;
          break;
        case 1:
          if (world.quiet.contains(name)) world.reports[name].incarnation = ++incarnation;
          world.quiet.erase(name);
          break;
        case 2:
          world.quiet.erase(name);
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
        // A life that ends within the window is the server's own matter (the durable store), not routing's.
        if (world.now - when < 5 * kSecond) EXPECT_EQ(where, node) << "shard " << shard;
        if (where == node && which == its_incarnation && world.now - when < 5 * kSecond)
          continue;  // a repeat
      }
      ran[key] = {node, its_incarnation, world.now};
    }
  }
  EXPECT_GT(changes, 50);
}

// ---- Repeats and admission

TEST(Repeats, WhatMayHaveRunIsRepeatedOnlyWhereThatIsHarmless) {
  fleet::Fleet fleet = small_fleet();
  for (const fleet::RequestClass& request_class : fleet.request_classes) {
    RetryPolicy rule = retry_policy_for(request_class, fleet.bounds);
    bool risky = false;
    for (RetryOn on : rule.on) risky = risky || on == RetryOn::kReset || on == RetryOn::kLate;
    EXPECT_EQ(risky, request_class.idempotency == Idempotency::kIdempotent);
    EXPECT_EQ(rule.same_node, request_class.idempotency == Idempotency::kKeyed);
    EXPECT_LE(rule.per_attempt_timeout, request_class.client_timeout);
  }
}

TEST(Admission, WhatEarnsLeastIsShedFirstAndDeduplicatedNever) {
  FleetWorld world;
  world.run(3 * kSecond);
  for (const char* node : {"n1", "n2", "n3"}) world.denies[node] = 1;
  world.run(6 * kSecond);
  auto request_classes = [&] { return world.router.published()->snapshot.request_classes; };
  EXPECT_LT(request_classes()[0].admitted, 9000u);
  EXPECT_EQ(request_classes()[1].admitted, 10'000u);
  world.run(20 * kSecond);
  EXPECT_EQ(request_classes()[0].admitted, 500u) << "the least that is always let through";
  EXPECT_LT(request_classes()[1].admitted, 10'000u);
  EXPECT_EQ(world.router.published()->snapshot.request_classes[2].admitted, 10'000u);
  world.denies.clear();
  world.run(30 * kSecond);
  for (const RequestClassRoute& request_class : world.router.published()->snapshot.request_classes)
    EXPECT_EQ(request_class.admitted, 10'000u);
}

TEST(Router, SmallChangesOfAWindowAreNotTold) {
  FleetWorld world;
  world.run(5 * kSecond);
  std::size_t before = world.published.size();
  for (int i = 0; i < 20; ++i) {
    world.reports["n1"].window = 20 + static_cast<std::uint32_t>(i % 3);
    world.run(300 * kMs);
  }
  EXPECT_EQ(world.published.size(), before);
  world.reports["n1"].window = 60;
  world.run(300 * kMs);
  EXPECT_EQ(world.published.size(), before + 1);
}

}  // namespace
}  // namespace myrtlecroft::routing
