// Weights in slow start and under uneven pressure.
#include <gtest/gtest.h>

#include <set>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Weights, ServerThatIsWarmingUpGetsItsWeightInSmallSteps) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.without_reports["n1"] = true;
  world.run(4 * kSecond);
  world.without_reports.clear();
  world.reports["n1"].incarnation = 200;
  world.reports["n1"].warming_up = true;
  std::uint32_t last = 0;
  std::set<std::uint32_t> steps;
  for (int i = 0; i < 150; ++i) {
    world.run(100 * kMs);
    if (i == 110) world.reports["n1"].warming_up = false;
    std::uint32_t weight = world.route("n1").weight;
    if (last > 0 && weight > 0) EXPECT_LE(weight, last + 10) << "no jump";
    last = weight;
    steps.insert(weight);
  }
  EXPECT_GT(steps.size(), 8u);
  EXPECT_EQ(world.server("n1").state, ServerState::kServing);
  EXPECT_EQ(last, 100u);
}

TEST(Weights, ServerUnderMorePressureLosesWeightAtABoundedSpeed) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.rejects["n3"] = 1;
  world.reports["n3"].queued_requests = 20;
  std::uint32_t before = world.route("n3").weight;
  world.run(kSecond);
  EXPECT_GE(world.route("n3").weight, before - 25);
  world.run(5 * kSecond);
  EXPECT_LT(world.route("n3").weight, 50u);
  EXPECT_GE(world.route("n3").weight, 10u) << "never below min_weight";
  EXPECT_EQ(world.route("n1").weight, 100u);
  world.rejects.clear();
  world.reports["n3"].queued_requests = 0;
  world.run(30 * kSecond);
  EXPECT_EQ(world.route("n3").weight, 100u);
}

}  // namespace
}  // namespace myrtlecroft::routing
