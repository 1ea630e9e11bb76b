// How many requests may be queued, by class and tenant.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(CapacityEstimateTest, MaxPositionFollowsThroughputAndLatencyObjective) {
  ControllerHarness server;
  server.serve(40, 500 * kMs);
  server.receive_many(2);
  int taken = 0;
  while (server.last_action(server.receive()) != "reject") ++taken;
  EXPECT_GE(taken, 2);
  EXPECT_LE(taken, 5) << "two cores, half a second each, two seconds of SLO time";
}

TEST(CapacityEstimateTest, TenantFarBeyondItsQuotaIsRejectedFirst) {
  ControllerHarness server;
  auto of = [&](int tenant) {
    return [&server, tenant](Request& request) {
      request.tenant = &server.config.tenants[static_cast<std::size_t>(tenant)];
    };
  };
  server.serve(20, 200 * kMs);
  for (int i = 0; i < 14; ++i) server.receive(kReadClass, of(1));
  EXPECT_EQ(server.last_action(server.receive(kReadClass, of(1))), "reject");
  EXPECT_NE(server.last_action(server.receive(kReadClass, of(0))), "reject");
}

TEST(CapacityEstimateTest, OneRequestOfASmallTenantIsNotFarBeyondItsQuota) {
  ServiceConfig config = two_core_config();
  config.servers = 100;
  ControllerHarness server(config);
  server.serve(20, 400 * kMs);
  server.receive_many(2 + 3);
  auto of_small = [&](Request& request) { request.tenant = &server.config.tenants[1]; };
  EXPECT_EQ(server.last_action(server.receive(kReadClass, of_small)), "");
}

}  // namespace
}  // namespace myrtlecroft
