// How many requests run at once.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(ConcurrencyLimitTest, LimitGrowsWhileCoresIdleUpToWhatAServerThatWarmsUpSurvives) {
  ServiceConfig config = window_only();
  config.warming_up = true;
  config.warm_up_initial_speed = 0.5;
  config.max_running_per_core = 4;
  config.warm_up_time = 100 * kSecond;
  ControllerHarness server(config);
  server.receive_many(10);
  server.advance(kSecond, 0.5);
  // 0.7 x 2 x (1 + 3 x a little over 0.5) is 3.5
  EXPECT_EQ(server.count("run"), 3);
}

}  // namespace
}  // namespace myrtlecroft
