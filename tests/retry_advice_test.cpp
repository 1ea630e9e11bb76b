// The failover advice of rejections, and the advertised capacity.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(RetryAdviceTest, RejectionForbidsFailoverOnlyWhereTheFleetIsShortOfCapacity) {
  ControllerHarness server;
  server.serve(20, 200 * kMs);
  server.receive_many(12);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
  EXPECT_FALSE(server.no_failover) << "after a few rejections other servers may have capacity";
  server.receive_many(30);
  EXPECT_TRUE(server.no_failover);
}

TEST(RetryAdviceTest, AllowanceFollowsTheThroughputOfASlowServer) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kMaxInFlight;
  ControllerHarness server(config);
  server.serve(20, 100 * kMs);
  double fast_allowance = server.advertised;
  server.serve(40, 500 * kMs);
  EXPECT_LT(server.advertised, 0.7 * fast_allowance);
}

TEST(RetryAdviceTest, AllowanceOfMoreCallersThanPositionsFallsBelowOneWithRejections) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kMaxInFlight;
  config.callers = 1000;
  ControllerHarness server(config);
  server.advance(kSecond);
  EXPECT_EQ(server.advertised, 1);
  server.receive_many(60);
  server.advance(2 * kSecond);
  EXPECT_LT(server.advertised, 0.8);
}

TEST(RetryAdviceTest, MinPriorityRisesWithRejectionsAndFallsWithoutThem) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kMinPriority;
  ControllerHarness server(config);
  server.receive_many(100);
  server.advance(2 * kSecond);
  EXPECT_GT(server.advertised, 0.2);
  for (Request& request : server.requests) server.complete(request);
  server.serve(400);
  EXPECT_EQ(server.advertised, 0);
}

}  // namespace
}  // namespace myrtlecroft
