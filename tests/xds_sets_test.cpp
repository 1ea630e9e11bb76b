// Tests that resource sets built from the previous set equal those built from scratch.
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

void expect_equal(const ResourceSet& made, const ResourceSet& rebuilt) {
  RC_ASSERT(made.versions == rebuilt.versions);
  for (ResourceType type : kAllTypes) {
    RC_ASSERT(made.of(type).size() == rebuilt.of(type).size());
    for (const auto& [name, resource] : made.of(type)) expect_equal(*resource, *rebuilt.of(type).at(name));
  }
}

// Checks `changed` and `has_removals` of a set against the versions in both sets.
void expect_correct_changes(const ResourceSet& before, const ResourceSet& made) {
  for (ResourceType type : kAllTypes) {
    std::vector<std::string> expected;
    for (const auto& [name, resource] : made.of(type)) {
      auto previous = before.of(type).find(name);
      if (previous == before.of(type).end() || previous->second->version != resource->version)
        expected.push_back(name);
    }
    std::vector<std::string> reported;
    for (const ResourcePtr& one : made.changed[static_cast<std::size_t>(type)]) reported.push_back(one->name);
    RC_ASSERT(reported == expected);
    bool has_removals = std::any_of(before.of(type).begin(), before.of(type).end(),
                                    [&](const auto& one) { return !made.of(type).contains(one.first); });
    RC_ASSERT(made.has_removals[static_cast<std::size_t>(type)] == has_removals);
  }
}

struct Change {
  int kind = 0;
  std::size_t target = 0;
  std::uint32_t value = 0;
};

void change_node(routing::Snapshot& snapshot, const Change& change) {
  routing::NodeRoute& node = snapshot.nodes[change.target % snapshot.nodes.size()];
  switch (change.kind) {
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
      snapshot.request_classes[change.target % snapshot.request_classes.size()];
  bool is_keyed = request_class.idempotency == Idempotency::kKeyed;
  switch (change.kind) {
    case 5:
      request_class.admitted = 100 * (change.value % 101);
      break;
    case 6:
      if (!is_keyed) request_class.subset_size = change.value % 12;
      break;
    case 7:
      if (!is_keyed)
        request_class.servers = change.value % 2 ? server_list_of({1, 2, 5, 7, 8}) : fleet::ServerList{};
      break;
    case 8:
      request_class.retry_after = change.value * kMs;
      break;
    default:
      request_class.key_header = is_keyed || change.value % 2 ? "Some-Key" : "";
  }
}

void change_rest(routing::Snapshot& snapshot, const Change& change) {
  switch (change.kind) {
    case 10:  // add a server
      snapshot.nodes.push_back(snapshot.nodes.front());
      snapshot.nodes.back().name = "more" + std::to_string(snapshot.nodes.size() + change.target);
      break;
    case 11:  // remove a server
      if (snapshot.nodes.size() <= 12) break;
      snapshot.nodes.erase(snapshot.nodes.begin() +
                           static_cast<std::ptrdiff_t>(change.target % snapshot.nodes.size()));
      for (int& owner : snapshot.shards) owner = std::min(owner, static_cast<int>(snapshot.nodes.size()) - 1);
      break;
    case 12:
      snapshot.shards[change.target % snapshot.shards.size()] =
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
  if (change.kind < 5) return change_node(snapshot, change);
  if (change.kind < 10) return change_request_class(snapshot, change);
  change_rest(snapshot, change);
}

// Requests each endpoints resource as the caller with this key, so that some subsets are serialised and can
// be reused.
void serialise_for_caller(const ResourceSet& set, std::uint64_t key) {
  for (const auto& [name, resource] : set.of(ResourceType::kEndpoints))
    resource_for_caller(resource, Caller{key});
}

RC_GTEST_PROP(ResourceSets, IncrementalBuildEqualsFullBuild, ()) {
  auto changes = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::uint32_t>>>(
      rc::gen::tuple(rc::gen::inRange(0, 17), rc::gen::inRange<std::size_t>(0, 1000),
                     rc::gen::inRange<std::uint32_t>(0, 1000)));
  routing::Snapshot snapshot = snapshot_with_subsets(24);
  std::uint64_t number = 1;
  auto before = build_resource_set({number, snapshot}, nullptr);
  for (auto [kind, target, value] : changes) {
    serialise_for_caller(*before, value);
    make_change(snapshot, {kind, target, value});
    auto made = build_resource_set({++number, snapshot}, before.get());
    auto rebuilt = build_resource_set({number, snapshot}, nullptr);
    serialise_for_caller(*made, value + 1);
    expect_equal(*made, *rebuilt);
    expect_correct_changes(*before, *made);
    RC_ASSERT(find_inconsistency(*made, before.get()) == find_inconsistency(*rebuilt));
    before = made;
  }
}

TEST(ResourceSets, UnchangedResourcesAreReused) {
  routing::Snapshot snapshot = snapshot_with_subsets();
  auto before = build_resource_set({1, snapshot}, nullptr);
  for (std::uint64_t key = 0; key < 2000; ++key) serialise_for_caller(*before, key);
  snapshot.nodes[7].weight = 50;
  auto made = build_resource_set({2, snapshot}, before.get());
  for (ResourceType type :
       {ResourceType::kClusters, ResourceType::kListeners, ResourceType::kRoutes, ResourceType::kRuntime}) {
    EXPECT_EQ(made->of(type), before->of(type)) << name_of(type);
  }
  EXPECT_EQ(made->of(ResourceType::kEndpoints).at("group/near"),
            before->of(ResourceType::kEndpoints).at("group/near"));
  const SubsetResources& subsets = subsets_of(*made, "group/read");
  EXPECT_EQ(subsets.count() - subsets.serialised_count(), routing::kSubsetRounds)
      << "each round has the server in one subset";
}

// The versions are those from before subsetting was introduced: a fleet file without subsetting must give
// the same bytes.
TEST(ResourceSets, VersionsWithoutSubsettingAreStable) {
  auto set = build_resource_set({1, sample_snapshot()}, nullptr);
  EXPECT_EQ(set->versions,
            (std::array<std::string, kTypeCount>{"2d7040f943b8a81a", "d4b3923e3e27638d", "596e4a02106a68b6",
                                                 "3fd77041a21e5087", "0aa377e7b26c29af"}));
}

TEST(ResourceSets, ServiceWithoutHealthyServersDoesNotBlockOthers) {
  routing::Snapshot snapshot = snapshot_with_subsets();
  for (std::size_t i = 0; i < 6; ++i)
    snapshot.nodes[i].health = Health::kOutOfRotation, snapshot.nodes[i].weight = 0;
  auto set = build_resource_set({1, snapshot}, nullptr);
  EXPECT_EQ(find_inconsistency(*set), "");
  DiscoveryHarness harness;
  DiscoveryHarness::Proxy proxy(false, "p1");
  harness.publish(snapshot);
  harness.connect(proxy);
  harness.run_until_idle(proxy);
  EXPECT_EQ(servers_of(proxy, "group/near").size(), 6u)
      << "all its servers stay listed: they reject requests themselves";
  EXPECT_FALSE(servers_of(proxy, "group/read").contains("n1"));
}

TEST(ResourceSets, SetWithAnEmptySubsetIsInconsistent) {
  routing::Snapshot snapshot = snapshot_with_subsets();
  for (auto& node : snapshot.nodes) node.health = Health::kOutOfRotation;
  EXPECT_NE(find_inconsistency(*build_resource_set({1, snapshot}, nullptr)), "");
}

}  // namespace
}  // namespace myrtlecroft::xds
