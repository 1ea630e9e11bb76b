// The transitions of a server between serving, stalled and probing.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(HealthStateTest, StalledWorkIsReportedAndProbesBringTheServerBack) {
  ControllerHarness server;
  server.serve(20);
  server.receive_many(4);
  server.advance(2 * kSecond);
  EXPECT_FALSE(server.healthy);
  EXPECT_EQ(server.count("reject"), 2) << "queued requests are rejected at once";
  EXPECT_EQ(server.last_action(server.receive()), "reject");
  EXPECT_EQ(server.retry_after, server.config.max_retry_after);
  for (Request& request : server.requests) {
    if (request.phase == Phase::kRunning) server.complete(request);
  }
  EXPECT_TRUE(server.healthy) << "callers send requests for probe runs only to a healthy server";
  server.receive_many(2);
  EXPECT_EQ(server.last_action(server.receive()), "reject") << "only two probe runs at once";
  server.complete(server.requests[server.requests.size() - 2]);
  server.complete(server.requests[server.requests.size() - 3]);
  server.serve(6);
  server.receive_many(2);
  EXPECT_EQ(server.last_action(server.receive()), "");
}

TEST(HealthStateTest, WindowAndThroughputDoNotRememberAStall) {
  ControllerHarness server;
  server.serve(20);
  server.receive_many(2);
  server.advance(10 * kSecond);
  for (Request& request : server.requests) server.complete(request);
  server.serve(6);
  server.receive_many(2 + 7);
  EXPECT_EQ(server.last_action(server.requests.back()), "")
      << "the window is reset, and the core time is that before the stall";
}

TEST(HealthStateTest, UnhealthyServerWithoutTrafficComesBackByItself) {
  ControllerHarness server;
  for (int i = 0; i < 10; ++i) server.complete(server.receive(), Outcome::kFailed);
  EXPECT_FALSE(server.healthy);
  server.advance(4 * kSecond);
  EXPECT_TRUE(server.healthy);
}

TEST(HealthStateTest, FastFailuresMakeTheServerUnhealthy) {
  ControllerHarness server;
  for (int i = 0; i < 10; ++i) {
    Request& request = server.receive();
    server.advance(25 * kMs);
    server.complete(request, Outcome::kFailed);
  }
  EXPECT_FALSE(server.healthy);
}

TEST(HealthStateTest, BacklogOfUnreadRequestsDoesNotMakeTheServerUnhealthy) {
  ControllerHarness server;
  for (int i = 0; i < 20; ++i)
    server.receive(kReadClass, [&](Request& request) { request.arrived = server.now - 1900 * kMs; });
  server.advance(100 * kMs);
  EXPECT_TRUE(server.healthy) << "otherwise an overloaded fleet would lose one server after the other";
}

}  // namespace
}  // namespace myrtlecroft
