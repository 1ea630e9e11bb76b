// The limit on requests that run at once.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(ConcurrencyLimitTest, LimitGrowsWhileCoresAreIdleUpToWhatAWarmingServerSurvives) {
  ServiceConfig config = config_limited_by_the_window_alone();
  config.warming_up = true;
  config.warm_up_initial_speed = 0.5;
  config.max_running_per_core = 4;
  config.warm_up_time = 100 * kSecond;
  ControllerHarness server(config);
  server.receive_many(10);
  server.advance(kSecond, 0.5);
  // kSurvivableShare 0.7 x 2 cores x (1 + 3 x a little over 0.5) is a little over 3.5.
  EXPECT_EQ(server.count("run"), 3);
}

}  // namespace
}  // namespace myrtlecroft
