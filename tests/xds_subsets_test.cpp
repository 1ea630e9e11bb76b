// Tests which resources callers receive for services with subsets.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <tuple>

#include "routing/subsets.h"
#include "xds_wires.h"

namespace myrtlecroft::xds {
namespace {

using routing::Health;

// ---- Resources that callers receive

class CallersOfSubsets : public testing::TestWithParam<std::tuple<bool, bool>> {
 protected:
  DiscoveryHarness::Proxy make_proxy(const std::string& id) const {
    auto [delta, by_name] = GetParam();
    return {delta, id, by_name ? std::vector<std::string>{"read", "write"} : std::vector<std::string>{}};
  }
};
INSTANTIATE_TEST_SUITE_P(Xds, CallersOfSubsets, testing::Combine(testing::Bool(), testing::Bool()),
                         [](const auto& one) {
                           return std::string(std::get<0>(one.param) ? "Delta" : "StateOfTheWorld") +
                                  (std::get<1>(one.param) ? "ByName" : "All");
                         });

// Returns the index of a server that is in no subset of the caller's services.
std::size_t server_outside_subsets(const routing::Snapshot& snapshot, const DiscoveryHarness::Proxy& proxy) {
  std::set<std::string> received;
  for (const auto& [name, endpoints] : proxy.client.applied()->endpoints) {
    if (!name.starts_with("group/")) continue;
    for (const std::string& server : servers_of(proxy, name)) received.insert(server);
  }
  for (std::size_t at = 0; at < snapshot.nodes.size(); ++at) {
    if (!received.contains(snapshot.nodes[at].name)) return at;
  }
  throw std::runtime_error("every server is in a subset of the caller");
}

TEST_P(CallersOfSubsets, ChangeOutsideTheSubsetSendsNothingAndCountsAsApplied) {
  DiscoveryHarness harness;
  DiscoveryHarness::Proxy caller = make_proxy("p1");
  routing::Snapshot snapshot = snapshot_with_subsets();
  harness.publish(snapshot);
  harness.connect(caller);
  harness.run_until_idle(caller);
  ASSERT_TRUE(caller.client.applied());
  EXPECT_GE(servers_of(caller, "group/read").size(), 5u);
  EXPECT_LE(servers_of(caller, "group/read").size(), 14u);
  int responses_sent = harness.responses_sent;
  std::size_t other = server_outside_subsets(snapshot, caller);
  snapshot.nodes[other].weight = 40;
  harness.publish(snapshot);
  harness.run_until_idle(caller);
  EXPECT_EQ(harness.responses_sent, responses_sent);
  EXPECT_EQ(harness.table.applied_by_all(kSecond, harness.now), 2u);
  const std::string own = *servers_of(caller, "group/read").begin();
  for (auto& node : snapshot.nodes) {
    if (node.name == own) node.weight = 33;
  }
  harness.publish(snapshot);
  EXPECT_EQ(harness.table.applied_by_all(kSecond, harness.now), 2u) << "the change has not been sent yet";
  harness.run_until_idle(caller);
  EXPECT_GT(harness.responses_sent, responses_sent);
  EXPECT_EQ(harness.table.applied_by_all(kSecond, harness.now), 3u);
}

TEST_P(CallersOfSubsets, CallerHasTheSameSubsetsAtAnotherReplica) {
  DiscoveryHarness first;
  DiscoveryHarness::Proxy caller = make_proxy("p1");
  first.publish(snapshot_with_subsets());
  first.connect(caller);
  first.run_until_idle(caller);
  auto before = servers_of(caller, "group/read");
  DiscoveryHarness second;
  second.publish(sample_snapshot());
  second.publish(snapshot_with_subsets());
  second.connect(caller);
  second.run_until_idle(caller);
  EXPECT_EQ(servers_of(caller, "group/read"), before);
  EXPECT_EQ(caller.client.half_applied(), 0);
  EXPECT_EQ(second.table.applied_by_all(kSecond, second.now), 2u);
  if (std::get<0>(GetParam())) {
    EXPECT_EQ(second.responses_sent, 0) << "the caller already has these versions";
  }
}

TEST_P(CallersOfSubsets, AppliedConfigurationIsAlwaysConsistent) {
  std::mt19937 random(11);
  DiscoveryHarness harness;
  std::vector<std::unique_ptr<DiscoveryHarness::Proxy>> proxies;
  for (int i = 0; i < 3; ++i)
    proxies.push_back(std::make_unique<DiscoveryHarness::Proxy>(make_proxy("p" + std::to_string(i))));
  auto random_snapshot = [&] {
    routing::Snapshot snapshot = snapshot_with_subsets(20 + static_cast<int>(random() % 30));
    for (auto& node : snapshot.nodes) node.health = random() % 4 ? Health::kHealthy : Health::kOutOfRotation;
    snapshot.nodes[0].health = Health::kHealthy;
    if (random() % 4 == 0) snapshot.request_classes[2].subset_size = 0;
    return snapshot;
  };
  harness.publish(random_snapshot());
  for (int step = 0; step < 8'000; ++step) {
    DiscoveryHarness::Proxy& one = *proxies[random() % proxies.size()];
    harness.now += kMs * 10;
    switch (random() % 10) {
      case 0:
        if (step % 5 == 0) harness.publish(random_snapshot());
        break;
      case 1:
        if (random() % 20 == 0 && one.stream) harness.disconnect(one);
        if (!one.stream) harness.connect(one);
        break;
      case 2:
      case 3:
      case 4:
        harness.deliver_request(one);
        break;
      case 5:
      case 6:
        harness.write_response(one);
        break;
      default:
        harness.deliver_response(one);
    }
    ASSERT_EQ(one.client.half_applied(), 0) << "at step " << step << ": " << one.client.half_applied_last();
  }
  harness.publish(snapshot_with_subsets());
  for (auto& one : proxies) {
    if (!one->stream) harness.connect(*one);
    harness.run_until_idle(*one);
    EXPECT_EQ(one->client.half_applied(), 0);
    DiscoveryHarness fresh;
    fresh.publish(snapshot_with_subsets());
    DiscoveryHarness::Proxy reconnected = make_proxy("p" + std::to_string(&one - proxies.data()));
    fresh.connect(reconnected);
    fresh.run_until_idle(reconnected);
    EXPECT_EQ(servers_of(*one, "group/read"), servers_of(reconnected, "group/read"));
  }
  EXPECT_EQ(harness.table.applied_by_all(kSecond, harness.now), harness.number);
}

// Replicas that publish the same snapshots. At times one of them serves new callers the set with all shards
// closed, doesn't know a caller yet, or restarts without state.
struct GatedReplicas {
  explicit GatedReplicas(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) harnesses.push_back(std::make_unique<DiscoveryHarness>());
  }
  void publish(const routing::Snapshot& snapshot) {
    newest = snapshot;
    ++number;
    for (auto& one : harnesses) catch_up(*one);
  }
  void catch_up(DiscoveryHarness& one) {
    if (one.number == number) return;
    one.number = number - 1;
    one.publish(newest);
  }
  void gate(DiscoveryHarness& one, bool fresh, std::set<std::string> served) {
    std::shared_ptr<const ResourceSet> closed_set;
    if (one.set && !fresh) {
      routing::PublishedSnapshot closed{number, newest};
      closed.snapshot.shards.assign(closed.snapshot.shards.size(), routing::kClosed);
      closed_set = build_resource_set(closed, nullptr);
    }
    one.table.gate({.served = std::move(served),
                    .fresh_until = fresh ? one.now + 3600 * kSecond : 0,
                    .closed = closed_set},
                   one.now);
  }
  std::vector<std::unique_ptr<DiscoveryHarness>> harnesses;
  routing::Snapshot newest;
  std::uint64_t number = 0;
};

const std::set<std::string> kAllCallers = {"p0", "p1", "p2"};

TEST_P(CallersOfSubsets, CallersMovingBetweenReplicasEndWithTheNewestSet) {
  std::mt19937 random(12);
  GatedReplicas replicas(3);
  std::vector<std::unique_ptr<DiscoveryHarness::Proxy>> proxies;
  std::vector<DiscoveryHarness*> connected_to(3);
  for (int i = 0; i < 3; ++i)
    proxies.push_back(std::make_unique<DiscoveryHarness::Proxy>(make_proxy("p" + std::to_string(i))));
  auto random_snapshot = [&] {
    routing::Snapshot snapshot = snapshot_with_subsets(24);
    for (auto& node : snapshot.nodes) node.health = random() % 4 ? Health::kHealthy : Health::kOutOfRotation;
    snapshot.nodes[0].health = Health::kHealthy;
    for (int& owner : snapshot.shards)
      owner = random() % 4 ? static_cast<int>(random() % 24) : routing::kClosed;
    return snapshot;
  };
  auto connect = [&](std::size_t i) {
    connected_to[i] = replicas.harnesses[random() % replicas.harnesses.size()].get();
    connected_to[i]->connect(*proxies[i]);
  };
  auto restart = [&](std::size_t which) {
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      if (connected_to[i] != replicas.harnesses[which].get() || !proxies[i]->stream) continue;
      connected_to[i]->disconnect(*proxies[i]);
    }
    replicas.harnesses[which] = std::make_unique<DiscoveryHarness>();
  };
  auto finish = [&] {
    for (auto& one : replicas.harnesses) {
      replicas.catch_up(*one);
      replicas.gate(*one, true, kAllCallers);
    }
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      if (!proxies[i]->stream) connect(i);
      connected_to[i]->run_until_idle(*proxies[i]);
      ASSERT_EQ(proxies[i]->client.half_applied(), 0) << proxies[i]->client.half_applied_last();
      ASSERT_TRUE(proxies[i]->client.applied());
      for (const auto& view : connected_to[i]->table.view()) {
        if (view.stream != proxies[i]->stream) continue;
        ASSERT_EQ(view.applied, replicas.number) << view.id;
      }
    }
  };
  replicas.publish(random_snapshot());
  for (int step = 0; step < 6'000; ++step) {
    std::size_t i = random() % proxies.size();
    DiscoveryHarness& replica = *replicas.harnesses[random() % replicas.harnesses.size()];
    if (connected_to[i] && proxies[i]->stream) connected_to[i]->now += kMs * 10;
    if (step % 150 == 149) ASSERT_NO_FATAL_FAILURE(finish()) << "at step " << step;
    switch (random() % 14) {
      case 0:
        if (step % 5 == 0) replicas.publish(random_snapshot());
        break;
      case 1:
        if (random() % 10 == 0 && proxies[i]->stream) connected_to[i]->disconnect(*proxies[i]);
        if (!proxies[i]->stream) connect(i);
        break;
      case 2:
        replicas.gate(replica, random() % 2, random() % 2 ? kAllCallers : std::set<std::string>{"p0"});
        break;
      case 3:
        if (random() % 20 == 0) restart(random() % 3);
        break;
      case 4:
        if (replica.set || random() % 4 == 0) replicas.catch_up(replica);
        break;
      case 5:
      case 6:
      case 7:
        if (proxies[i]->stream) connected_to[i]->deliver_request(*proxies[i]);
        break;
      case 8:
      case 9:
        if (proxies[i]->stream) connected_to[i]->write_response(*proxies[i]);
        break;
      default:
        if (proxies[i]->stream) connected_to[i]->deliver_response(*proxies[i]);
    }
  }
}

TEST(CallersByName, GetOnlyTheServicesTheyRequest) {
  DiscoveryHarness harness;
  DiscoveryHarness::Proxy near(true, "p1", {"near"});
  DiscoveryHarness::Proxy write(false, "p2", {"write"});
  DiscoveryHarness::Proxy all(true, "p3");
  harness.publish(snapshot_with_subsets());
  for (DiscoveryHarness::Proxy* one : {&near, &write, &all}) {
    harness.connect(*one);
    harness.run_until_idle(*one);
    ASSERT_TRUE(one->client.applied());
  }
  EXPECT_EQ(near.client.applied()->clusters.size(), 1u);
  EXPECT_EQ(servers_of(near, "group/near").size(), 6u);
  EXPECT_EQ(write.client.applied()->clusters.size(), 16u) << "one cluster per shard owner";
  EXPECT_EQ(write.client.applied()->routes->virtual_hosts(0).routes_size(), 17);
  EXPECT_EQ(all.client.applied()->clusters.size(), 19u);
  EXPECT_LT(near.client.bytes_in(), all.client.bytes_in() / 10);
}

TEST(CallersByName, HaveNoListenerWithoutSubsetting) {
  DiscoveryHarness harness;
  DiscoveryHarness::Proxy caller(false, "p1", {"read"});
  harness.publish(sample_snapshot());
  harness.connect(caller);
  harness.run_until_idle(caller);
  EXPECT_FALSE(caller.client.applied());
}

TEST(CallersOfOneSubset, ShareOneSerialisedResource) {
  auto set = build_resource_set({1, snapshot_with_subsets()}, nullptr);
  std::map<const Resource*, int> received;
  constexpr int kCallers = 500;
  for (int i = 0; i < kCallers; ++i) {
    Session session(i % 2 ? ProtocolVariant::kDelta : ProtocolVariant::kStateOfTheWorld);
    session.set_caller({routing::caller_key("caller-" + std::to_string(i), "a")});
    session.set_target(set);
    Request request{.type = ResourceType::kEndpoints};
    (i % 2 ? request.subscribe : request.names) = {"group/read"};
    session.request(request, 0);
    auto response = session.next();
    ASSERT_TRUE(response);
    ASSERT_EQ(response->resources.size(), 1u);
    ++received[response->resources[0].get()];
  }
  const SubsetResources& subsets = subsets_of(*set, "group/read");
  EXPECT_EQ(received.size(), subsets.serialised_count())
      << "each subset is serialised once, however many callers share it";
  EXPECT_LE(received.size(), 6 * routing::kSubsetRounds);
  EXPECT_EQ(subsets_of(*set, "group/set").serialised_count(), 0u) << "no caller subscribed to these";
}

TEST(SessionTable, CallerThatReconnectsBetweenTwoChecksIsListedAsDisconnectedOnce) {
  DiscoveryHarness harness;
  DiscoveryHarness::Proxy caller(true, "p1");
  harness.publish(sample_snapshot());
  for (int i = 0; i < 3; ++i) {
    harness.connect(caller);
    harness.run_until_idle(caller);
    harness.publish(sample_snapshot(4 + i));
    harness.run_until_idle(caller);
    harness.disconnect(caller);
  }
  EXPECT_EQ(harness.table.disconnected_count(), 1u);
  harness.connect(caller);
  harness.run_until_idle(caller);
  EXPECT_EQ(harness.table.applied_by_all(60 * kSecond, harness.now), harness.number);
}

// With a scan over all connected and disconnected callers for each one that connects or disconnects, this
// test takes minutes.
TEST(SessionTable, MassReconnectLooksUpCallersById) {
  SessionTable table([](const std::string&) {});
  table.publish(build_resource_set({1, sample_snapshot()}, nullptr));
  constexpr int kCallers = 40'000;
  Request request{.type = ResourceType::kRoutes, .names = {"fleet"}};
  auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < 2; ++round) {
    std::vector<StreamId> streams;
    for (int i = 0; i < kCallers; ++i) {
      streams.push_back(table.open(ProtocolVariant::kStateOfTheWorld, "peer"));
      table.request(streams.back(), "caller-" + std::to_string(i), "a", request, kSecond);
    }
    EXPECT_EQ(table.applied_by_all(kSecond, kSecond), 0u);
    for (StreamId stream : streams) table.close(stream, kSecond);
  }
  EXPECT_EQ(table.disconnected_count(), static_cast<std::size_t>(kCallers))
      << "each caller once, though it connected twice";
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10));
}

}  // namespace
}  // namespace myrtlecroft::xds
