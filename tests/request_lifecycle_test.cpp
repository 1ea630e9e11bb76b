// The lifecycle of one request: deadlines, retries and their keys, graceful shutdown.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(RequestLifecycleTest, RunningRequestFailsBeforeItsDeadlineAndStillOccupiesItsCore) {
  ControllerHarness server;
  Request& first =
      server.receive(kReadClass, [&](Request& request) { request.client_deadline = server.now + kSecond; });
  Request& second = server.receive();
  server.advance(kSecond - 100 * kMs);
  EXPECT_EQ(server.last_action(first), "run");
  server.advance(100 * kMs);
  EXPECT_EQ(server.last_action(first), "fail");
  EXPECT_EQ(server.last_action(second), "run");
  Request& third = server.receive();
  EXPECT_EQ(server.last_action(third), "");
  server.complete(first);
  EXPECT_EQ(server.last_action(third), "run");
}

TEST(RequestLifecycleTest, WorkIsStoppedOnceItIsAnsweredUnlessARetryMayNeedIt) {
  ServiceConfig config = two_core_config();
  config.stop_mode = StopMode::kFreeze;
  ControllerHarness server(config);
  Request& request = server.receive();
  Request& write = server.receive(kWriteClass);
  server.advance(5 * kSecond);
  EXPECT_EQ(server.last_action(request), "stop");
  EXPECT_EQ(server.last_action(write), "fail");
}

TEST(RequestLifecycleTest, RetryOfAQueuedRunningOrDoneRequestIsCoalescedAndNeverRun) {
  ControllerHarness server;
  Request& first = server.receive(kWriteClass);
  EXPECT_EQ(server.count("retain key"), 1);
  EXPECT_GE(server.key_lifetime, 10 * kSecond);
  EXPECT_EQ(server.last_action(server.retry_of(first)), "coalesce");
  server.complete(first);
  EXPECT_EQ(server.last_action(server.retry_of(first)), "coalesce");
  Request& unknown = server.receive(kWriteClass, [](Request& request) { request.is_retry = true; });
  EXPECT_EQ(server.last_action(unknown), "coalesce");
}

TEST(RequestLifecycleTest, OneOfTwoAttemptsInABatchRunsWhenTheyNameEachOther) {
  ControllerHarness server;
  Request& second = server.requests.emplace_back();
  Request& first = server.retry_of(second);
  second.request_class = first.request_class;
  second.arrived = server.now;
  second.is_retry = true;
  second.original = &first;
  server.controller.request_received(second, server.now);
  EXPECT_EQ(server.last_action(first), "run");
  EXPECT_EQ(server.last_action(second), "coalesce");
}

TEST(RequestLifecycleTest, RetryOfAFailedRetryIsNotRun) {
  ControllerHarness server;
  Request& first = server.receive(kWriteClass);
  Request& second = server.retry_of(first);
  server.advance(5 * kSecond);
  EXPECT_EQ(server.last_action(second), "fail");
  EXPECT_EQ(server.last_action(server.retry_of(second)), "coalesce");
}

TEST(RequestLifecycleTest, RequestRejectedBeforeItRanReleasesItsKey) {
  ControllerHarness server;
  server.receive_many(2);
  Request& queued = server.receive(kWriteClass);
  server.advance(4950 * kMs);
  EXPECT_EQ(server.count("forget key"), 1);
  EXPECT_EQ(queued.phase, Phase::kDone);
}

TEST(RequestLifecycleTest, ArrivalsAfterTheDrainGraceAreRejectedAndAllAreAnsweredBeforeTheStop) {
  ControllerHarness server;
  Request& running = server.receive(kWriteClass);
  server.controller.begin_drain(server.now + 3 * kSecond, server.now);
  EXPECT_FALSE(server.healthy);
  server.advance(kSecond);
  EXPECT_EQ(server.last_action(server.receive()), "run");
  server.advance(100 * kMs);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
  EXPECT_EQ(server.last_action(server.retry_of(running)), "fail");
  server.advance(1800 * kMs);
  for (const Request& request : server.requests)
    EXPECT_TRUE(request.answered || request.phase == Phase::kDone);
}

TEST(RequestLifecycleTest, QueuedRequestThatMissesItsObjectiveIsRejectedForThoseBehindIt) {
  ServiceConfig config = two_core_config();
  ControllerHarness server(config);
  server.serve(10);
  server.receive_many(4);
  server.advance(400 * kMs);
  Request& overdue = server.requests[server.requests.size() - 2];
  overdue.useful_until = server.now;
  server.complete(server.requests[server.requests.size() - 4]);
  EXPECT_EQ(server.last_action(overdue), "reject");
  EXPECT_EQ(server.last_action(server.requests.back()), "run");
}

}  // namespace
}  // namespace myrtlecroft
