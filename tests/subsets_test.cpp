// Subsets of a service's servers: deterministic, evenly loaded, stable when servers are added or removed, and
// never empty.
#include "routing/subsets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace myrtlecroft::routing {
namespace {

std::vector<NodeRoute> servers(int count, int zones = 3, int first = 0) {
  std::vector<NodeRoute> out;
  for (int i = first; i < first + count; ++i) {
    out.push_back({.name = "n" + std::to_string(i),
                   .zone = "z" + std::to_string(i % zones),
                   .host = "127.0.0.1",
                   .port = 4100,
                   .health = Health::kHealthy,
                   .weight = 100});
  }
  return out;
}

Subsets::ServerIndices all_of(const std::vector<NodeRoute>& nodes) {
  Subsets::ServerIndices out(nodes.size());
  std::iota(out.begin(), out.end(), 0u);
  return out;
}

using Pair = std::tuple<std::size_t, std::size_t, std::string>;  // round, subset in it, server

std::set<Pair> pairs_of(const Subsets& subsets, const std::vector<NodeRoute>& nodes) {
  std::set<Pair> out;
  const std::size_t per_round = subsets.count() / kSubsetRounds;
  for (std::size_t at = 0; at < subsets.count(); ++at) {
    for (std::uint32_t server_index : subsets.members(at))
      out.emplace(at / per_round, at % per_round, nodes[server_index].name);
  }
  return out;
}

std::size_t moved_between(const std::vector<NodeRoute>& before, const std::vector<NodeRoute>& after,
                          std::uint32_t size) {
  auto one = pairs_of(Subsets(before, all_of(before), size), before);
  auto other = pairs_of(Subsets(after, all_of(after), size), after);
  std::vector<Pair> differ;
  std::set_symmetric_difference(one.begin(), one.end(), other.begin(), other.end(),
                                std::back_inserter(differ));
  return differ.size();
}

std::vector<Subsets::ServerIndices> all_in_service(const Subsets& subsets,
                                                   const std::vector<NodeRoute>& nodes) {
  std::vector<Subsets::ServerIndices> out;
  for (std::size_t subset = 0; subset < subsets.count(); ++subset) {
    out.push_back(subsets.in_service(subset, nodes));
  }
  return out;
}

TEST(Subsets, OrderOfTheFleetFileChangesNothing) {
  std::vector<NodeRoute> nodes = servers(300);
  std::vector<NodeRoute> reversed(nodes.rbegin(), nodes.rend());
  EXPECT_EQ(pairs_of(Subsets(nodes, all_of(nodes), 20), nodes),
            pairs_of(Subsets(reversed, all_of(reversed), 20), reversed));
  // Known values, so that a change of this code which gives callers other subsets fails this test.
  Subsets subsets(nodes, all_of(nodes), 20);
  EXPECT_EQ(subsets.subset_of_caller(caller_key("caller-1", "z1"), service_key("read")), 85u);
  EXPECT_EQ(subsets.subset_of_caller(caller_key("caller-1", "z2"), service_key("read")), 1u);
}

TEST(Subsets, EveryServerIsInOneSubsetOfEachRoundAndEverySubsetSpansTheZones) {
  std::vector<NodeRoute> nodes = servers(300);
  Subsets subsets(nodes, all_of(nodes), 20);
  ASSERT_EQ(subsets.count(), 15u * kSubsetRounds);
  std::vector<std::uint32_t> times(nodes.size());
  for (std::size_t at = 0; at < subsets.count(); ++at) {
    std::set<std::string> zones;
    for (std::uint32_t server_index : subsets.members(at)) {
      ++times[server_index];
      zones.insert(nodes[server_index].zone);
    }
    EXPECT_EQ(zones.size(), 3u) << at;
    EXPECT_GE(subsets.members(at).size(), 10u) << at;
    EXPECT_LE(subsets.members(at).size(), 25u) << at;
  }
  EXPECT_EQ(std::set<std::uint32_t>(times.begin(), times.end()), std::set<std::uint32_t>{kSubsetRounds});
}

// The load of a server is the sum over its callers of one divided by the size of the caller's subset.
TEST(Subsets, CallersAndLoadAreEvenOverServers) {
  struct Bound {
    std::uint32_t size;
    double callers;
    double load;
  };
  for (auto [size, callers_bound, load_bound] :
       {Bound{5, 1.35, 1.6}, Bound{20, 1.2, 1.35}, Bound{60, 1.1, 1.2}}) {
    std::vector<NodeRoute> nodes = servers(300);
    Subsets subsets(nodes, all_of(nodes), size);
    std::vector<double> callers(nodes.size());
    std::vector<double> load(nodes.size());
    constexpr int kCallers = 10'000;
    for (int i = 0; i < kCallers; ++i) {
      std::uint64_t caller = caller_key("caller-" + std::to_string(i), i % 2 ? "z1" : "z2");
      const auto& members = subsets.members(subsets.subset_of_caller(caller, service_key("read")));
      for (std::uint32_t server_index : members) {
        ++callers[server_index];
        load[server_index] += 1.0 / static_cast<double>(members.size());
      }
    }
    double callers_mean = std::accumulate(callers.begin(), callers.end(), 0.0) / 300;
    double load_mean = kCallers / 300.0;
    double callers_max = *std::max_element(callers.begin(), callers.end()) / callers_mean;
    double load_max = *std::max_element(load.begin(), load.end()) / load_mean;
    RecordProperty("callers_most_" + std::to_string(size), std::to_string(callers_max));
    RecordProperty("load_most_" + std::to_string(size), std::to_string(load_max));
    EXPECT_LT(callers_max, callers_bound) << size;
    EXPECT_LT(load_max, load_bound) << size;
  }
}

// Each round necessarily loses or gains one pair of subset and server; the other changes are limited.
TEST(Subsets, AddedOrRemovedServerMovesFewOthers) {
  double moved = 0;
  std::size_t max = 0;
  constexpr int kTrials = 30;
  for (int trial = 0; trial < kTrials; ++trial) {
    std::vector<NodeRoute> before = servers(290);
    std::vector<NodeRoute> after = before;
    after.erase(after.begin() + trial * 9);
    std::size_t differ = moved_between(before, after, 20);
    moved += static_cast<double>(differ - kSubsetRounds);
    max = std::max(max, differ - kSubsetRounds);
    EXPECT_EQ(moved_between(after, before, 20), differ) << "adding the server again moves the same number";
  }
  RecordProperty("moved_mean", std::to_string(moved / kTrials));
  EXPECT_LT(moved / kTrials, 2 * kSubsetRounds) << "of 2320 pairs";
  EXPECT_LT(max, 8 * kSubsetRounds);
}

// The additional subset must take only its share of servers from the others.
TEST(Subsets, AddedSubsetMovesAboutAsManyServersAsItHas) {
  std::size_t moved = moved_between(servers(300), servers(301), 20);
  RecordProperty("moved", std::to_string(moved));
  EXPECT_LT(moved, 5u * 20 * kSubsetRounds);
}

TEST(Subsets, MostCallersKeepTheirSubsetWhenASubsetIsAdded) {
  std::vector<NodeRoute> nodes_before = servers(300);
  std::vector<NodeRoute> nodes_after = servers(301);
  Subsets before(nodes_before, all_of(nodes_before), 20);
  Subsets after(nodes_after, all_of(nodes_after), 20);
  int moved = 0;
  for (int i = 0; i < 10'000; ++i) {
    std::uint64_t caller = caller_key("caller-" + std::to_string(i), "z1");
    std::size_t one = before.subset_of_caller(caller, 7);
    std::size_t other = after.subset_of_caller(caller, 7);
    moved += one / 15 != other / 16 || one % 15 != other % 16;
  }
  EXPECT_LT(moved, 10'000 / 12);
}

TEST(Subsets, NoneIsEmptyWhileOneServerIsHealthy) {
  for (std::uint32_t size : {1u, 2u, 7u, 20u}) {
    std::vector<NodeRoute> nodes = servers(61, 5);
    Subsets subsets(nodes, all_of(nodes), size);
    for (NodeRoute& node : nodes) node.health = Health::kOutOfRotation;
    nodes[17].health = Health::kHealthy;
    for (const auto& healthy : all_in_service(subsets, nodes))
      EXPECT_EQ(healthy, Subsets::ServerIndices{17}) << size;
    nodes[17].health = Health::kDraining;
    for (const auto& healthy : all_in_service(subsets, nodes)) EXPECT_TRUE(healthy.empty());
  }
}

TEST(Subsets, SubsetWithFewerThanHalfInServiceIsFilledUpAndNoOtherChanges) {
  std::vector<NodeRoute> nodes = servers(300);
  Subsets subsets(nodes, all_of(nodes), 20);
  for (std::uint32_t server_index : subsets.members(3)) nodes[server_index].health = Health::kOutOfRotation;
  auto healthy = all_in_service(subsets, nodes);
  EXPECT_GE(healthy[3].size(), 10u);
  for (std::size_t at = 0; at < 15; ++at) {
    if (at != 3) {
      EXPECT_EQ(healthy[at], subsets.members(at)) << "of the same round, at " << at;
    }
  }
}

TEST(Subsets, LostZoneLeavesEverySubsetItsOtherZones) {
  std::vector<NodeRoute> nodes = servers(300);
  Subsets subsets(nodes, all_of(nodes), 20);
  for (NodeRoute& node : nodes) node.health = node.zone == "z1" ? Health::kOutOfRotation : Health::kHealthy;
  for (const auto& healthy : all_in_service(subsets, nodes)) EXPECT_GE(healthy.size(), 10u);
}

}  // namespace
}  // namespace myrtlecroft::routing
