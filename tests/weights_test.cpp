// Weights of servers in slow start and under uneven pressure.
#include <gtest/gtest.h>

#include <set>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Weights, ServerThatIsWarmingUpGetsItsWeightInSmallSteps) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.without_reports["n1"] = true;
  simulation.run(4 * kSecond);
  simulation.without_reports.clear();
  simulation.reports["n1"].incarnation = 200;
  simulation.reports["n1"].warming_up = true;
  std::uint32_t last = 0;
  std::set<std::uint32_t> steps;
  for (int i = 0; i < 150; ++i) {
    simulation.run(100 * kMs);
    if (i == 110) simulation.reports["n1"].warming_up = false;
    std::uint32_t weight = simulation.route("n1").weight;
    if (last > 0 && weight > 0) EXPECT_LE(weight, last + 10) << "no jump";
    last = weight;
    steps.insert(weight);
  }
  EXPECT_GT(steps.size(), 8u);
  EXPECT_EQ(simulation.server("n1").state, ServerState::kServing);
  EXPECT_EQ(last, 100u);
}

TEST(Weights, ServerUnderMorePressureLosesWeightAtABoundedSpeed) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.rejects["n3"] = 1;
  simulation.reports["n3"].queued_requests = 20;
  std::uint32_t before = simulation.route("n3").weight;
  simulation.run(kSecond);
  EXPECT_GE(simulation.route("n3").weight, before - 25);
  simulation.run(5 * kSecond);
  EXPECT_LT(simulation.route("n3").weight, 50u);
  EXPECT_GE(simulation.route("n3").weight, 10u) << "never below min_weight";
  EXPECT_EQ(simulation.route("n1").weight, 100u);
  simulation.rejects.clear();
  simulation.reports["n3"].queued_requests = 0;
  simulation.run(30 * kSecond);
  EXPECT_EQ(simulation.route("n3").weight, 100u);
}

}  // namespace
}  // namespace myrtlecroft::routing
