// Sets of resources made from what changed are those made from nothing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <tuple>

#include "routing/subsets.h"
#include "xds_wires.h"

namespace myrtlecroft::xds {
namespace {

using routing::Health;

void expect_equal(const Resource& one, const Resource& other) {
  RC_ASSERT(one.version == other.version);
  RC_ASSERT(one.sotw_encoding == other.sotw_encoding);
  RC_ASSERT(one.delta_encoding == other.delta_encoding);
  RC_ASSERT(one.references == other.references);
  RC_ASSERT(!one.subsets == !other.subsets);
  if (!one.subsets) return;
  RC_ASSERT(one.subsets->count() == other.subsets->count());
  for (std::size_t at = 0; at < one.subsets->count(); ++at)
    expect_equal(*one.subsets->at(at), *other.subsets->at(at));
}

void expect_equal(const ResourceSet& made, const ResourceSet& anew) {
  RC_ASSERT(made.versions == anew.versions);
  for (ResourceType type : kAllTypes) {
    RC_ASSERT(made.of(type).size() == anew.of(type).size());
    for (const auto& [name, resource] : made.of(type)) expect_equal(*resource, *anew.of(type).at(name));
  }
}

// What it says of itself against the set before, by versions alone.
void expect_told(const ResourceSet& before, const ResourceSet& made) {
  for (ResourceType type : kAllTypes) {
    std::vector<std::string> expected;
    for (const auto& [name, resource] : made.of(type)) {
      auto had = before.of(type).find(name);
      if (had == before.of(type).end() || had->second->version != resource->version) expected.push_back(name);
    }
    std::vector<std::string> told;
    for (const ResourcePtr& one : made.changed[static_cast<std::size_t>(type)]) told.push_back(one->name);
    RC_ASSERT(told == expected);
    bool has_removals = std::any_of(before.of(type).begin(), before.of(type).end(),
                                    [&](const auto& one) { return !made.of(type).contains(one.first); });
    RC_ASSERT(made.has_removals[static_cast<std::size_t>(type)] == has_removals);
  }
}

struct Change {
  int what = 0;
  std::size_t where = 0;
  std::uint32_t value = 0;
};

void change_node(routing::Snapshot& snapshot, const Change& change) {
  routing::NodeRoute& node = snapshot.nodes[change.where % snapshot.nodes.size()];
  switch (change.what) {
    case 0:
      node.weight = 1 + change.value;
      break;
    case 1:
      node.health = static_cast<Health>(change.value % 3);
      break;
    case 2:
      node.in_flight = change.value;
      break;
    case 3:
      node.priority = static_cast<int>(change.value % 2);
      break;
    default:
      node.port = static_cast<std::uint16_t>(1 + change.value);
  }
}

void change_request_class(routing::Snapshot& snapshot, const Change& change) {
  routing::RequestClassRoute& request_class =
      snapshot.request_classes[change.where % snapshot.request_classes.size()];
  bool owners = request_class.idempotency == Idempotency::kKeyed;
  switch (change.what) {
    case 5:
      request_class.admitted = 100 * (change.value % 101);
      break;
    case 6:
      if (!owners) request_class.subset_size = change.value % 12;
      break;
    case 7:
      if (!owners)
        request_class.servers = change.value % 2 ? placed_on({1, 2, 5, 7, 8}) : fleet::ServerList{};
      break;
    case 8:
      request_class.retry_after = change.value * kMs;
      break;
    default:
      request_class.key_header = owners || change.value % 2 ? "Some-Key" : "";
  }
}

void change_rest(routing::Snapshot& snapshot, const Change& change) {
  switch (change.what) {
    case 10:  // a server comes
      snapshot.nodes.push_back(snapshot.nodes.front());
      snapshot.nodes.back().name = "more" + std::to_string(snapshot.nodes.size() + change.where);
      break;
    case 11:  // or goes
      if (snapshot.nodes.size() <= 12) break;
      snapshot.nodes.erase(snapshot.nodes.begin() +
                           static_cast<std::ptrdiff_t>(change.where % snapshot.nodes.size()));
      for (int& owner : snapshot.shards) owner = std::min(owner, static_cast<int>(snapshot.nodes.size()) - 1);
      break;
    case 12:
      snapshot.shards[change.where % snapshot.shards.size()] =
          static_cast<int>(change.value % snapshot.nodes.size()) - 1;
      break;
    case 13:
      snapshot.service_listeners = change.value % 2;
      break;
    case 14:
      snapshot.retry_budget = change.value / 1000.0;
      break;
    case 15:
      std::swap(snapshot.request_classes.front(), snapshot.request_classes.back());
      break;
    default:
      snapshot.tenants.assign(1, {"c", change.value});
  }
}

void make_change(routing::Snapshot& snapshot, const Change& change) {
  if (change.what < 5) return change_node(snapshot, change);
  if (change.what < 10) return change_request_class(snapshot, change);
  change_rest(snapshot, change);
}

// A caller of each key asks for what it is told, so that something is serialised that can be taken over.
void ask_all(const ResourceSet& set, std::uint64_t key) {
  for (const auto& [name, resource] : set.of(ResourceType::kEndpoints)) resolved(resource, Caller{key});
}

RC_GTEST_PROP(ResourceSets, OneMadeFromWhatChangedIsTheOneMadeFromNothing, ()) {
  auto changes = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::uint32_t>>>(
      rc::gen::tuple(rc::gen::inRange(0, 17), rc::gen::inRange<std::size_t>(0, 1000),
                     rc::gen::inRange<std::uint32_t>(0, 1000)));
  routing::Snapshot snapshot = subsetted(24);
  std::uint64_t number = 1;
  auto before = build_resource_set({number, snapshot}, nullptr);
  for (auto [what, where, value] : changes) {
    ask_all(*before, value);
    make_change(snapshot, {what, where, value});
    auto made = build_resource_set({++number, snapshot}, before.get());
    auto anew = build_resource_set({number, snapshot}, nullptr);
    ask_all(*made, value + 1);
    expect_equal(*made, *anew);
    expect_told(*before, *made);
    RC_ASSERT(find_inconsistency(*made, before.get()) == find_inconsistency(*anew));
    before = made;
  }
}

TEST(ResourceSets, WhatAChangeDoesNotTouchIsTakenOverAsItIs) {
  routing::Snapshot snapshot = subsetted();
  auto before = build_resource_set({1, snapshot}, nullptr);
  for (std::uint64_t key = 0; key < 2000; ++key) ask_all(*before, key);
  snapshot.nodes[7].weight = 50;
  auto made = build_resource_set({2, snapshot}, before.get());
  for (ResourceType type :
       {ResourceType::kClusters, ResourceType::kListeners, ResourceType::kRoutes, ResourceType::kRuntime}) {
    EXPECT_EQ(made->of(type), before->of(type)) << name_of(type);
  }
  EXPECT_EQ(made->of(ResourceType::kEndpoints).at("group/near"),
            before->of(ResourceType::kEndpoints).at("group/near"));
  const SubsetResources& subsets = subsets_of(*made, "group/read");
  EXPECT_EQ(subsets.count() - subsets.made(), routing::kSubsetRounds)
      << "one subset of each round has the server";
}

// A fleet file that asks for none of it: bytes as they were before there were subsets.
TEST(ResourceSets, WithoutSubsettingVersionsAreThoseOfBefore) {
  auto set = build_resource_set({1, picture()}, nullptr);
  EXPECT_EQ(set->versions,
            (std::array<std::string, kTypes>{"2d7040f943b8a81a", "d4b3923e3e27638d", "596e4a02106a68b6",
                                             "3fd77041a21e5087", "0aa377e7b26c29af"}));
}

TEST(ResourceSets, AServiceThatIsDownHoldsUpNoOther) {
  routing::Snapshot snapshot = subsetted();
  for (std::size_t i = 0; i < 6; ++i)
    snapshot.nodes[i].health = Health::kOutOfRotation, snapshot.nodes[i].weight = 0;
  auto set = build_resource_set({1, snapshot}, nullptr);
  EXPECT_EQ(find_inconsistency(*set), "");
  Wires wires;
  Wires::Link link(false, "p1");
  wires.publish(snapshot);
  wires.connect(link);
  wires.settle(link);
  EXPECT_EQ(servers_of(link, "group/near").size(), 6u)
      << "its servers as they are: what is sent there is refused there";
  EXPECT_FALSE(servers_of(link, "group/read").contains("n1"));
}

TEST(ResourceSets, OneSubsetWithoutEndpointsMakesTheSetUnfit) {
  routing::Snapshot snapshot = subsetted();
  for (auto& node : snapshot.nodes) node.health = Health::kOutOfRotation;
  EXPECT_NE(find_inconsistency(*build_resource_set({1, snapshot}, nullptr)), "");
}

}  // namespace
}  // namespace myrtlecroft::xds
