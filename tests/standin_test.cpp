// The stand-in proxy's ring: what keyed repeatable groups are spread by where a client's own ring can't be
// shown.
#include <google/protobuf/any.pb.h>
#include <gtest/gtest.h>

#include <map>

#include "../measure/ready.h"
#include "../standin/proxy.h"
#include "routing_fakes.h"
#include "xds/resources.h"

namespace myrtlecroft::standin {
namespace {

AppliedSet::Endpoints served(routing::FleetSimulation& world) {
  auto set = xds::build_resource_set(*world.router.published(), nullptr);
  ParsedResourceCache bodies;
  const std::string& plain = set->of(xds::ResourceType::kEndpoints).at("group/read")->sotw_encoding;
  AppliedSet::Endpoints out;
  // Tag and length of the field, then type_url and value of an Any.
  google::protobuf::Any any;
  std::size_t at = 1;
  while (static_cast<unsigned char>(plain[at]) & 0x80) ++at;
  EXPECT_TRUE(any.ParseFromString(plain.substr(at + 1)));
  EXPECT_TRUE(out.ParseFromString(any.value()));
  return out;
}

TEST(Ring, AKeyStaysWhereItIsAndOnlyWhatANodeHadMovesWhenItGoes) {
  routing::FleetSimulation world(routing::small_fleet(5));
  world.run(5 * kSecond);
  AppliedSet::Endpoints before = served(world);
  world.reports["n2"].draining = true;
  world.run(kSecond);
  AppliedSet::Endpoints after = served(world);
  ASSERT_EQ(after.endpoints_size(), 4);
  std::map<std::string, int> owned;
  int moved = 0;
  for (int i = 0; i < 500; ++i) {
    std::string key = "key" + std::to_string(i);
    std::string old = pick_ring_endpoint(before, key, {});
    ++owned[old];
    EXPECT_EQ(pick_ring_endpoint(before, key, {}), old);
    if (old == "127.0.0.1:4102") {
      EXPECT_NE(pick_ring_endpoint(after, key, {}), old);
    } else {
      moved += pick_ring_endpoint(after, key, {}) != old;
    }
  }
  EXPECT_EQ(owned.size(), 5u);
  EXPECT_EQ(moved, 0);
  for (const auto& [node, keys] : owned) EXPECT_GT(keys, 40) << node;
}

TEST(Ring, ANodeOfLessWeightHasFewerKeys) {
  fleet::Fleet fleet = routing::small_fleet(3);
  fleet.nodes[0].capacity = 0.25;
  routing::FleetSimulation world(fleet);
  world.run(5 * kSecond);
  AppliedSet::Endpoints endpoints = served(world);
  std::map<std::string, int> owned;
  for (int i = 0; i < 900; ++i) ++owned[pick_ring_endpoint(endpoints, "key" + std::to_string(i), {})];
  EXPECT_LT(owned["127.0.0.1:4101"], 200);
  EXPECT_GT(owned["127.0.0.1:4102"], 250);
}

// All killed and started again together under load, the engines late and nobody at the membership service.
TEST(Ready, NodesKilledTogetherAreReadyAgainAsSoonAsTheirEngines) {
  measure::ReadyResult got = measure::play_ready({.engine_after = kSecond, .membership = false});
  EXPECT_GE(got.ready_ms.size(), 27u);
  EXPECT_LT(measure::ReadyResult::at(got.ready_ms, 0.9), 10'000);
  EXPECT_LT(measure::ReadyResult::at(got.own_ms, 0.9), 1'000);
  EXPECT_GT(got.completed, 0);
  EXPECT_EQ(got.crashed, 0) << got.last_words;
}

}  // namespace
}  // namespace myrtlecroft::standin
