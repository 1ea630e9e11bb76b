// What callers are told of services with subsets.
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

// ---- What callers are told

class CallersOfSubsets : public testing::TestWithParam<std::tuple<bool, bool>> {
 protected:
  Wires::Link link(const std::string& id) const {
    auto [delta, by_name] = GetParam();
    return {delta, id, by_name ? std::vector<std::string>{"read", "write"} : std::vector<std::string>{}};
  }
};
INSTANTIATE_TEST_SUITE_P(Xds, CallersOfSubsets, testing::Combine(testing::Bool(), testing::Bool()),
                         [](const auto& one) {
                           return std::string(std::get<0>(one.param) ? "Delta" : "StateOfTheWorld") +
                                  (std::get<1>(one.param) ? "ByName" : "All");
                         });

// A server that none of the caller's services has in its subset.
std::size_t outside(const routing::Snapshot& snapshot, const Wires::Link& link) {
  std::set<std::string> told;
  for (const auto& [name, endpoints] : link.client.applied()->endpoints) {
    if (!name.starts_with("group/")) continue;
    for (const std::string& server : servers_of(link, name)) told.insert(server);
  }
  for (std::size_t at = 0; at < snapshot.nodes.size(); ++at) {
    if (!told.contains(snapshot.nodes[at].name)) return at;
  }
  throw std::runtime_error("it is told of all");
}

TEST_P(CallersOfSubsets, AChangeOutsideASubsetSendsItsCallerNothingAndCountsAsApplied) {
  Wires wires;
  Wires::Link caller = link("p1");
  routing::Snapshot snapshot = subsetted();
  wires.publish(snapshot);
  wires.connect(caller);
  wires.settle(caller);
  ASSERT_TRUE(caller.client.applied());
  EXPECT_GE(servers_of(caller, "group/read").size(), 5u);
  EXPECT_LE(servers_of(caller, "group/read").size(), 14u);
  int answers = wires.answers;
  std::size_t other = outside(snapshot, caller);
  snapshot.nodes[other].weight = 40;
  wires.publish(snapshot);
  wires.settle(caller);
  EXPECT_EQ(wires.answers, answers);
  EXPECT_EQ(wires.table.applied_by_all(kSecond, wires.now), 2u);
  const std::string own = *servers_of(caller, "group/read").begin();
  for (auto& node : snapshot.nodes) {
    if (node.name == own) node.weight = 33;
  }
  wires.publish(snapshot);
  EXPECT_EQ(wires.table.applied_by_all(kSecond, wires.now), 2u) << "it has not been told yet";
  wires.settle(caller);
  EXPECT_GT(wires.answers, answers);
  EXPECT_EQ(wires.table.applied_by_all(kSecond, wires.now), 3u);
}

TEST_P(CallersOfSubsets, AtAnotherInstanceACallerHasTheSameSubsets) {
  Wires first;
  Wires::Link caller = link("p1");
  first.publish(subsetted());
  first.connect(caller);
  first.settle(caller);
  auto before = servers_of(caller, "group/read");
  Wires second;
  second.publish(picture());
  second.publish(subsetted());
  second.connect(caller);
  second.settle(caller);
  EXPECT_EQ(servers_of(caller, "group/read"), before);
  EXPECT_EQ(caller.client.half_applied(), 0);
  EXPECT_EQ(second.table.applied_by_all(kSecond, second.now), 2u);
  if (std::get<0>(GetParam())) {
    EXPECT_EQ(second.answers, 0) << "it has all of it, in these versions";
  }
}

TEST_P(CallersOfSubsets, NothingIsEverHalfApplied) {
  std::mt19937 random(11);
  Wires wires;
  std::vector<std::unique_ptr<Wires::Link>> links;
  for (int i = 0; i < 3; ++i) links.push_back(std::make_unique<Wires::Link>(link("p" + std::to_string(i))));
  auto drawn = [&] {
    routing::Snapshot snapshot = subsetted(20 + static_cast<int>(random() % 30));
    for (auto& node : snapshot.nodes) node.health = random() % 4 ? Health::kHealthy : Health::kOutOfRotation;
    snapshot.nodes[0].health = Health::kHealthy;
    if (random() % 4 == 0) snapshot.request_classes[2].subset_size = 0;
    return snapshot;
  };
  wires.publish(drawn());
  for (int step = 0; step < 8'000; ++step) {
    Wires::Link& one = *links[random() % links.size()];
    wires.now += kMs * 10;
    switch (random() % 10) {
      case 0:
        if (step % 5 == 0) wires.publish(drawn());
        break;
      case 1:
        if (random() % 20 == 0 && one.stream) wires.cut(one);
        if (!one.stream) wires.connect(one);
        break;
      case 2:
      case 3:
      case 4:
        wires.move_up(one);
        break;
      case 5:
      case 6:
        wires.write(one);
        break;
      default:
        wires.move_down(one);
    }
    ASSERT_EQ(one.client.half_applied(), 0) << "at step " << step << ": " << one.client.half_applied_last();
  }
  wires.publish(subsetted());
  for (auto& one : links) {
    if (!one->stream) wires.connect(*one);
    wires.settle(*one);
    EXPECT_EQ(one->client.half_applied(), 0);
    Wires fresh;
    fresh.publish(subsetted());
    Wires::Link anew = link("p" + std::to_string(&one - links.data()));
    fresh.connect(anew);
    fresh.settle(anew);
    EXPECT_EQ(servers_of(*one, "group/read"), servers_of(anew, "group/read"));
  }
  EXPECT_EQ(wires.table.applied_by_all(kSecond, wires.now), wires.number);
}

// Instances that publish the same, and at times have no open shard for whoever is new, do not know a caller
// yet, or start again from nothing.
struct GatedInstances {
  explicit GatedInstances(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) tables.push_back(std::make_unique<Wires>());
  }
  void publish(const routing::Snapshot& snapshot) {
    newest = snapshot;
    ++number;
    for (auto& one : tables) catch_up(*one);
  }
  void catch_up(Wires& one) {
    if (one.number == number) return;
    one.number = number - 1;
    one.publish(newest);
  }
  void gate(Wires& one, bool fresh, std::set<std::string> served) {
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
  std::vector<std::unique_ptr<Wires>> tables;
  routing::Snapshot newest;
  std::uint64_t number = 0;
};

const std::set<std::string> kAllCallers = {"p0", "p1", "p2"};

TEST_P(CallersOfSubsets, ThatGoFromInstanceToInstanceEndWithTheNewestSet) {
  std::mt19937 random(12);
  GatedInstances instances(3);
  std::vector<std::unique_ptr<Wires::Link>> links;
  std::vector<Wires*> at(3);
  for (int i = 0; i < 3; ++i) links.push_back(std::make_unique<Wires::Link>(link("p" + std::to_string(i))));
  auto drawn = [&] {
    routing::Snapshot snapshot = subsetted(24);
    for (auto& node : snapshot.nodes) node.health = random() % 4 ? Health::kHealthy : Health::kOutOfRotation;
    snapshot.nodes[0].health = Health::kHealthy;
    for (int& owner : snapshot.shards)
      owner = random() % 4 ? static_cast<int>(random() % 24) : routing::kClosed;
    return snapshot;
  };
  auto connect = [&](std::size_t i) {
    at[i] = instances.tables[random() % instances.tables.size()].get();
    at[i]->connect(*links[i]);
  };
  auto restart = [&](std::size_t which) {
    for (std::size_t i = 0; i < links.size(); ++i) {
      if (at[i] != instances.tables[which].get() || !links[i]->stream) continue;
      at[i]->cut(*links[i]);
    }
    instances.tables[which] = std::make_unique<Wires>();
  };
  auto finish = [&] {
    for (auto& one : instances.tables) {
      instances.catch_up(*one);
      instances.gate(*one, true, kAllCallers);
    }
    for (std::size_t i = 0; i < links.size(); ++i) {
      if (!links[i]->stream) connect(i);
      at[i]->settle(*links[i]);
      ASSERT_EQ(links[i]->client.half_applied(), 0) << links[i]->client.half_applied_last();
      ASSERT_TRUE(links[i]->client.applied());
      for (const auto& view : at[i]->table.view()) {
        if (view.stream != links[i]->stream) continue;
        ASSERT_EQ(view.applied, instances.number) << view.id;
      }
    }
  };
  instances.publish(drawn());
  for (int step = 0; step < 6'000; ++step) {
    std::size_t i = random() % links.size();
    Wires& some = *instances.tables[random() % instances.tables.size()];
    if (at[i] && links[i]->stream) at[i]->now += kMs * 10;
    if (step % 150 == 149) ASSERT_NO_FATAL_FAILURE(finish()) << "at step " << step;
    switch (random() % 14) {
      case 0:
        if (step % 5 == 0) instances.publish(drawn());
        break;
      case 1:
        if (random() % 10 == 0 && links[i]->stream) at[i]->cut(*links[i]);
        if (!links[i]->stream) connect(i);
        break;
      case 2:
        instances.gate(some, random() % 2, random() % 2 ? kAllCallers : std::set<std::string>{"p0"});
        break;
      case 3:
        if (random() % 20 == 0) restart(random() % 3);
        break;
      case 4:
        if (some.set || random() % 4 == 0) instances.catch_up(some);
        break;
      case 5:
      case 6:
      case 7:
        if (links[i]->stream) at[i]->move_up(*links[i]);
        break;
      case 8:
      case 9:
        if (links[i]->stream) at[i]->write(*links[i]);
        break;
      default:
        if (links[i]->stream) at[i]->move_down(*links[i]);
    }
  }
}

TEST(CallersByName, GetOnlyWhatTheyAskFor) {
  Wires wires;
  Wires::Link near(true, "p1", {"near"});
  Wires::Link write(false, "p2", {"write"});
  Wires::Link all(true, "p3");
  wires.publish(subsetted());
  for (Wires::Link* one : {&near, &write, &all}) {
    wires.connect(*one);
    wires.settle(*one);
    ASSERT_TRUE(one->client.applied());
  }
  EXPECT_EQ(near.client.applied()->clusters.size(), 1u);
  EXPECT_EQ(servers_of(near, "group/near").size(), 6u);
  EXPECT_EQ(write.client.applied()->clusters.size(), 16u) << "the owners of its shards";
  EXPECT_EQ(write.client.applied()->routes->virtual_hosts(0).routes_size(), 17);
  EXPECT_EQ(all.client.applied()->clusters.size(), 19u);
  EXPECT_LT(near.client.bytes_in(), all.client.bytes_in() / 10);
}

TEST(CallersByName, HaveNoListenerWithoutSubsetting) {
  Wires wires;
  Wires::Link caller(false, "p1", {"read"});
  wires.publish(picture());
  wires.connect(caller);
  wires.settle(caller);
  EXPECT_FALSE(caller.client.applied());
}

TEST(CallersOfOneSubset, ShareWhatIsSerialised) {
  auto set = build_resource_set({1, subsetted()}, nullptr);
  std::map<const Resource*, int> told;
  constexpr int kCallers = 500;
  for (int i = 0; i < kCallers; ++i) {
    Session session(i % 2 ? ProtocolVariant::kDelta : ProtocolVariant::kStateOfTheWorld);
    session.set_caller({routing::caller_key("caller-" + std::to_string(i), "a")});
    session.offer(set);
    Request request{.type = ResourceType::kEndpoints};
    (i % 2 ? request.subscribe : request.names) = {"group/read"};
    session.request(request, 0);
    auto response = session.next();
    ASSERT_TRUE(response);
    ASSERT_EQ(response->resources.size(), 1u);
    ++told[response->resources[0].get()];
  }
  const SubsetResources& subsets = subsets_of(*set, "group/read");
  EXPECT_EQ(told.size(), subsets.made()) << "each once, however many callers have it";
  EXPECT_LE(told.size(), 6 * routing::kSubsetRounds);
  EXPECT_EQ(subsets_of(*set, "group/set").made(), 0u) << "nobody asked for those";
}

TEST(SessionTable, ACallerThatComesAndGoesBetweenTwoLooksIsGoneOnce) {
  Wires wires;
  Wires::Link caller(true, "p1");
  wires.publish(picture());
  for (int i = 0; i < 3; ++i) {
    wires.connect(caller);
    wires.settle(caller);
    wires.publish(picture(4 + i));
    wires.settle(caller);
    wires.cut(caller);
  }
  EXPECT_EQ(wires.table.gone(), 1u);
  wires.connect(caller);
  wires.settle(caller);
  EXPECT_EQ(wires.table.applied_by_all(60 * kSecond, wires.now), wires.number);
}

// With a look through all who are there or gone for each that comes and goes, this takes minutes.
TEST(SessionTable, AllCallersThatReconnectAtOnceAreFoundById) {
  SessionTable table([](const std::string&) {});
  table.publish(build_resource_set({1, picture()}, nullptr));
  constexpr int kCallers = 40'000;
  Request request{.type = ResourceType::kRoutes, .names = {"fleet"}};
  auto begun = std::chrono::steady_clock::now();
  for (int round = 0; round < 2; ++round) {
    std::vector<StreamId> streams;
    for (int i = 0; i < kCallers; ++i) {
      streams.push_back(table.open(ProtocolVariant::kStateOfTheWorld, "peer"));
      table.request(streams.back(), "caller-" + std::to_string(i), "a", request, kSecond);
    }
    EXPECT_EQ(table.applied_by_all(kSecond, kSecond), 0u);
    for (StreamId stream : streams) table.close(stream, kSecond);
  }
  EXPECT_EQ(table.gone(), static_cast<std::size_t>(kCallers)) << "each once, though it came twice";
  EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(10));
}

}  // namespace
}  // namespace myrtlecroft::xds
