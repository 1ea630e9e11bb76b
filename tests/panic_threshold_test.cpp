// The limit on the capacity that is out of rotation at once.
#include <gtest/gtest.h>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(PanicThreshold, FailedServersBeyondTheThresholdAreKeptInRotation) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  simulation.hung = {{"n1", true}, {"n2", true}};
  simulation.run(20 * kSecond);
  int out = 0;
  for (const ServerStatus& server : simulation.router.registry().all()) out += !server.in_service();
  EXPECT_EQ(out, 1);
  EXPECT_TRUE(simulation.logged("is kept in"));
  simulation.hung = {{"n1", true}};
  simulation.run(30 * kSecond);
  EXPECT_EQ(simulation.server("n2").state, ServerState::kServing);
  EXPECT_FALSE(simulation.server("n1").in_service() && !simulation.server("n1").kept_in_rotation &&
               simulation.server("n1").state == ServerState::kServing);
}

}  // namespace
}  // namespace myrtlecroft::routing
