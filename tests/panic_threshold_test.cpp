// How much of the fleet may be out of rotation at once.
#include <gtest/gtest.h>

#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(PanicThreshold, ServersBeyondItAreKeptInRotation) {
  FleetWorld world;
  world.run(3 * kSecond);
  world.hung = {{"n1", true}, {"n2", true}};
  world.run(20 * kSecond);
  int out = 0;
  for (const ServerStatus& server : world.router.registry().all()) out += !server.in_service();
  EXPECT_EQ(out, 1);
  EXPECT_TRUE(world.logged("is kept in"));
  world.hung = {{"n1", true}};
  world.run(30 * kSecond);
  EXPECT_EQ(world.server("n2").state, ServerState::kServing);
  EXPECT_FALSE(world.server("n1").in_service() && !world.server("n1").kept_in_rotation &&
               world.server("n1").state == ServerState::kServing);
}

}  // namespace
}  // namespace myrtlecroft::routing
