// When a faulty server leaves rotation, and how long it stays out.
#include <gtest/gtest.h>

#include <vector>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(ServerStates, ServerThatAnswersNothingIsUnresponsiveThoughItReportsHealthy) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.hung["n3"] = true;
  simulation.run(2500 * kMs);
  EXPECT_EQ(simulation.server("n3").state, ServerState::kUnresponsive);
  EXPECT_EQ(simulation.route("n3").health, Health::kOutOfRotation);
}

TEST(ServerStates, ServerIsUnresponsiveWhenProxiesGetNoAnswers) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  for (int i = 0; i < 30; ++i) {
    simulation.run(100 * kMs);
    simulation.router.handle_proxy_counts({.node = "n1", .issued = 5, .succeeded = 5}, simulation.now);
    simulation.router.handle_proxy_counts({.node = "n2", .issued = 5, .succeeded = 0, .failed = 5},
                                          simulation.now);
  }
  EXPECT_EQ(simulation.server("n2").state, ServerState::kUnresponsive);
  EXPECT_EQ(simulation.server("n1").state, ServerState::kServing);
}

TEST(ServerStates, ServerThatReportsItsRejectionsStaysThoughProxiesSeeOnlyErrors) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.rejects["n2"] = 2;
  for (int i = 0; i < 30; ++i) {
    simulation.run(100 * kMs);
    simulation.router.handle_proxy_counts({.node = "n2", .issued = 5, .succeeded = 0, .failed = 5},
                                          simulation.now);
  }
  EXPECT_EQ(simulation.server("n2").state, ServerState::kServing);
}

TEST(ServerStates, FlappingServerStaysOutForLongerEachTime) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  std::vector<Nanos> times_out_of_rotation;
  for (int round = 0; round < 4; ++round) {
    simulation.reports["n1"].mode = Mode::kStalled;
    simulation.run(500 * kMs);
    ASSERT_EQ(simulation.server("n1").state, ServerState::kUnhealthy);
    simulation.reports["n1"].mode = Mode::kServing;
    Nanos start = simulation.now;
    while (!simulation.server("n1").in_service() && simulation.now - start < 60 * kSecond)
      simulation.run(100 * kMs);
    times_out_of_rotation.push_back(simulation.now - start);
  }
  EXPECT_GT(times_out_of_rotation[2], times_out_of_rotation[1]);
  EXPECT_GT(times_out_of_rotation[3], times_out_of_rotation[2]);
  simulation.run(120 * kSecond);
  EXPECT_EQ(simulation.server("n1").flaps, 0) << "flaps are removed after a stable time";
}

}  // namespace
}  // namespace myrtlecroft::routing
