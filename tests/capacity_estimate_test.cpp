// The limits on queue positions by request class and tenant.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(CapacityEstimateTest, MaxPositionFollowsThroughputAndLatencyObjective) {
  ControllerHarness server;
  server.serve(40, 500 * kMs);
  server.receive_many(2);
  int queued = 0;
  while (server.last_action(server.receive()) != "reject") ++queued;
  EXPECT_GE(queued, 2);
  EXPECT_LE(queued, 5) << "two cores, half a second each, a latency objective of two seconds";
}

TEST(CapacityEstimateTest, TenantFarBeyondItsQuotaIsRejectedFirst) {
  ControllerHarness server;
  auto from_tenant = [&](int tenant) {
    return [&server, tenant](Request& request) {
      request.tenant = &server.config.tenants[static_cast<std::size_t>(tenant)];
    };
  };
  server.serve(20, 200 * kMs);
  for (int i = 0; i < 14; ++i) server.receive(kReadClass, from_tenant(1));
  EXPECT_EQ(server.last_action(server.receive(kReadClass, from_tenant(1))), "reject");
  EXPECT_NE(server.last_action(server.receive(kReadClass, from_tenant(0))), "reject");
}

TEST(CapacityEstimateTest, OneRequestOfASmallTenantIsNotFarBeyondItsQuota) {
  ServiceConfig config = two_core_config();
  config.servers = 100;
  ControllerHarness server(config);
  server.serve(20, 400 * kMs);
  server.receive_many(2 + 3);
  auto from_small_tenant = [&](Request& request) { request.tenant = &server.config.tenants[1]; };
  EXPECT_EQ(server.last_action(server.receive(kReadClass, from_small_tenant)), "");
}

}  // namespace
}  // namespace myrtlecroft
