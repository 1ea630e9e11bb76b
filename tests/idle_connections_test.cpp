// The time limit after which idle connections are closed.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(IdleConnectionsTest, IdleConnectionsAreClosedSoonIfManyCallersRarelyReturn) {
  ServiceConfig config = two_core_config();
  config.callers = 1000;
  ControllerHarness server(config);
  server.advance(10 * kSecond, 2, 70);
  EXPECT_LT(server.idle_limit, kSecond) << "a full connection table refuses new callers unnoticed";
  server.advance(10 * kSecond, 12, 70);
  EXPECT_EQ(server.idle_limit, 30 * kSecond) << "in a storm of reconnects a full table keeps callers out";
}

TEST(IdleConnectionsTest, ConnectionsOfFewCallersStayOpen) {
  ControllerHarness server;
  for (int i = 0; i < 20; ++i) server.serve(1, 200 * kMs), server.advance(100 * kMs, 2, 25);
  EXPECT_EQ(server.idle_limit, 0) << "the limit never changes, since the callers return soon";
}

}  // namespace
}  // namespace myrtlecroft
