// When a server goes out of rotation for a fault, and how long it stays out.
#include <gtest/gtest.h>

#include <vector>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(ServerStates, ServerThatAnswersNothingIsUnresponsiveThoughItReportsHealthy) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.hung["n3"] = true;
  world.run(2500 * kMs);
  EXPECT_EQ(world.server("n3").state, ServerState::kUnresponsive);
  EXPECT_EQ(world.route("n3").health, Health::kOutOfRotation);
}

TEST(ServerStates, ServerIsUnresponsiveWhenProxiesGetNoAnswers) {
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

TEST(ServerStates, ServerThatReportsItsRejectionsStaysThoughProxiesSeeOnlyErrors) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.rejects["n2"] = 2;
  for (int i = 0; i < 30; ++i) {
    world.run(100 * kMs);
    world.router.handle_proxy_counts({.node = "n2", .issued = 5, .succeeded = 0, .failed = 5}, world.now);
  }
  EXPECT_EQ(world.server("n2").state, ServerState::kServing);
}

TEST(ServerStates, FlappingServerStaysOutForLongerEachTime) {
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
  EXPECT_EQ(world.server("n1").flaps, 0) << "forgiven after a stable time";
}

}  // namespace
}  // namespace myrtlecroft::routing
