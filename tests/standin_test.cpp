// Tests of the stand-in proxy's hash ring, by which keyed requests of repeatable classes are spread where a
// real client's ring can't be tested (see grpc_client_test.cpp).
#include <google/protobuf/any.pb.h>
#include <gtest/gtest.h>

#include <map>

#include "../measure/ready.h"
#include "../standin/proxy.h"
#include "routing_fakes.h"
#include "xds/resources.h"

namespace myrtlecroft::standin {
namespace {

AppliedSet::Endpoints served_endpoints(routing::FleetSimulation& simulation) {
  auto set = xds::build_resource_set(*simulation.router.published(), nullptr);
  ParsedResourceCache bodies;
  const std::string& encoding = set->of(xds::ResourceType::kEndpoints).at("group/read")->sotw_encoding;
  AppliedSet::Endpoints out;
  // The encoding is the field's tag and length, followed by a serialized Any.
  google::protobuf::Any any;
  std::size_t length_at = 1;
  while (static_cast<unsigned char>(encoding[length_at]) & 0x80) ++length_at;
  EXPECT_TRUE(any.ParseFromString(encoding.substr(length_at + 1)));
  EXPECT_TRUE(out.ParseFromString(any.value()));
  return out;
}

TEST(Ring, OnlyTheKeysOfADrainingServerMove) {
  routing::FleetSimulation simulation(routing::small_fleet(5));
  simulation.run(5 * kSecond);
  AppliedSet::Endpoints before = served_endpoints(simulation);
  simulation.reports["n2"].draining = true;
  simulation.run(kSecond);
  AppliedSet::Endpoints after = served_endpoints(simulation);
  ASSERT_EQ(after.endpoints_size(), 4);
  std::map<std::string, int> owned;
  int moved = 0;
  for (int i = 0; i < 500; ++i) {
    std::string key = "key" + std::to_string(i);
    std::string owner = pick_ring_endpoint(before, key, {});
    ++owned[owner];
    EXPECT_EQ(pick_ring_endpoint(before, key, {}), owner);
    if (owner == "127.0.0.1:4102") {
      EXPECT_NE(pick_ring_endpoint(after, key, {}), owner);
    } else {
      moved += pick_ring_endpoint(after, key, {}) != owner;
    }
  }
  EXPECT_EQ(owned.size(), 5u);
  EXPECT_EQ(moved, 0);
  for (const auto& [node, keys] : owned) EXPECT_GT(keys, 40) << node;
}

TEST(Ring, ServerWithLowerWeightOwnsFewerKeys) {
  fleet::Fleet fleet = routing::small_fleet(3);
  fleet.nodes[0].capacity = 0.25;
  routing::FleetSimulation simulation(fleet);
  simulation.run(5 * kSecond);
  AppliedSet::Endpoints endpoints = served_endpoints(simulation);
  std::map<std::string, int> owned;
  for (int i = 0; i < 900; ++i) ++owned[pick_ring_endpoint(endpoints, "key" + std::to_string(i), {})];
  EXPECT_LT(owned["127.0.0.1:4101"], 200);
  EXPECT_GT(owned["127.0.0.1:4102"], 250);
}

// All servers are killed and restarted together under load; the engines come up late and the membership
// service is down.
TEST(Ready, ServersKilledTogetherAreReadyOnceTheirEnginesAre) {
  measure::ReadyResult result = measure::measure_readiness({.engine_delay = kSecond, .membership = false});
  EXPECT_GE(result.ready_ms.size(), 27u);
  EXPECT_LT(measure::ReadyResult::at(result.ready_ms, 0.9), 10'000);
  EXPECT_LT(measure::ReadyResult::at(result.own_startup_ms, 0.9), 1'000);
  EXPECT_GT(result.completed, 0);
  EXPECT_EQ(result.crashed, 0) << result.last_log_line;
}

}  // namespace
}  // namespace myrtlecroft::standin
