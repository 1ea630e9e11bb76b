// The Service with fake ports: answers, health checks and the drain.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

TEST(ServiceTest, CompletedRunIsAnsweredWithItsResult) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a");
  EXPECT_EQ(harness.count("run a"), 1);
  harness.done("a", Outcome::kOk, "bytes");
  EXPECT_EQ(caller.single_answer(), "completed bytes");
}

TEST(ServiceTest, RequestsAndHealthChecksAreRejectedBeforeTheEngineIsUp) {
  ServiceHarness harness;
  Caller check;
  harness.service.health_check(check, false);
  EXPECT_EQ(check.single_answer(), "denied");
  EXPECT_EQ(harness.read("a").single_answer(), "denied");
  harness.engine_up();
  EXPECT_TRUE(harness.healthy);
}

TEST(ServiceTest, RequestWithAnIdInUseDoesNotRun) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& first = harness.read("a");
  EXPECT_EQ(harness.read("a").single_answer(), "terminated");
  harness.done("a");
  EXPECT_EQ(first.single_answer(), "completed result");
  EXPECT_EQ(harness.count("run a"), 1);
}

TEST(ServiceTest, RunThatTheEngineRefusesIsAnsweredAndItsRetryMayRun) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kWriteClass, "key");
  harness.service.engine().command_ignored("RUN", "a");
  EXPECT_EQ(caller.single_answer(), "terminated");
  harness.read("b", kWriteClass, "key");
  EXPECT_EQ(harness.count("run b"), 1);
}

TEST(ServiceTest, EveryRequestIsAnsweredInTimeWhileTheEngineLinkIsDown) {
  ServiceHarness harness;
  harness.engine_up();
  harness.service.engine().link_lost();
  std::vector<Caller*> callers;
  for (int i = 0; i < 6; ++i)
    callers.push_back(&harness.read("x" + std::to_string(i), kReadClass, "", kSecond));
  harness.advance_time(kSecond);
  for (Caller* caller : callers) EXPECT_EQ(caller->answers.size(), 1u);
}

TEST(ServiceTest, QueuedRequestOfADisconnectedCallerDoesNotRun) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("a");
  harness.read("b");
  Caller& queued = harness.read("c");
  harness.service.caller_disconnected(queued.id, queued);
  harness.done("a");
  harness.done("b");
  EXPECT_EQ(harness.count("run c"), 0);
  EXPECT_EQ(queued.single_answer(), "0");
}

TEST(HealthChecksTest, ProbesTestTheEngineOnceAndTimeOut) {
  ServiceHarness harness;
  harness.engine_up();
  Caller one, two, three, four, five;
  harness.service.health_check(one, true);
  harness.service.health_check(two, true);
  EXPECT_EQ(harness.count("test"), 1);
  harness.service.engine().test_completed(harness.test_token, true);
  EXPECT_EQ(one.single_answer(), "completed ");
  EXPECT_EQ(two.single_answer(), "completed ");
  harness.service.health_check(three, true);
  harness.advance_time(2 * kSecond);
  EXPECT_EQ(three.single_answer(), "denied");
  harness.service.health_check(five, true);
  // The engine allows no self-tests, so the reported health decides.
  harness.service.engine().command_ignored("TEST", "");
  EXPECT_EQ(five.single_answer(), "completed ");
  harness.service.engine().link_lost();
  harness.service.health_check(four, true);
  EXPECT_EQ(four.single_answer(), "denied");
}

TEST(DrainTest, RequestsWithinTheGraceRunAndTheListenerClosesOnceAllAreAnswered) {
  ServiceHarness harness;
  harness.engine_up();
  harness.service.begin_drain();
  EXPECT_FALSE(harness.healthy);
  Caller& early = harness.read("a");
  EXPECT_EQ(harness.count("run a"), 1);
  harness.advance_time(1100 * kMs);
  Caller& late = harness.read("b");
  EXPECT_EQ(late.single_answer(), "denied");
  EXPECT_EQ(harness.count("finish"), 0);
  harness.done("a");
  EXPECT_EQ(early.single_answer(), "completed result");
  EXPECT_EQ(harness.count("finish"), 1);
}

TEST(DrainTest, EveryRequestIsAnsweredBeforeTheStop) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kReadClass, "", 60 * kSecond);
  harness.service.begin_drain();
  harness.advance_time(2950 * kMs);
  EXPECT_EQ(caller.single_answer(), "terminated");
  EXPECT_EQ(harness.count("finish"), 1);
}

}  // namespace
}  // namespace myrtlecroft
