// The Service with fake ports: answers, health checks and the drain.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

TEST(ServiceTest, CompletedRunIsAnsweredWithItsResult) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a");
  EXPECT_EQ(world.count("run a"), 1);
  world.done("a", Outcome::kOk, "bytes");
  EXPECT_EQ(caller.only(), "completed bytes");
}

TEST(ServiceTest, RequestsAndHealthChecksAreRejectedBeforeTheEngineIsUp) {
  FakeWorld world;
  Caller check;
  world.service.health_check(check, false);
  EXPECT_EQ(check.only(), "denied");
  EXPECT_EQ(world.read("a").only(), "denied");
  world.engine_up();
  EXPECT_TRUE(world.healthy);
}

TEST(ServiceTest, RequestWithAnIdInUseDoesNotRun) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a");
  EXPECT_EQ(world.read("a").only(), "terminated");
  world.done("a");
  EXPECT_EQ(first.only(), "completed result");
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(ServiceTest, RunThatTheEngineRefusesIsAnsweredAndItsRetryMayRun) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kWriteClass, "key");
  world.service.engine().command_ignored("RUN", "a");
  EXPECT_EQ(caller.only(), "terminated");
  world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 1);
}

TEST(ServiceTest, EveryRequestIsAnsweredInTimeWhileTheEngineLinkIsDown) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().link_lost();
  std::vector<Caller*> callers;
  for (int i = 0; i < 6; ++i)
    callers.push_back(&world.read("x" + std::to_string(i), kReadClass, "", kSecond));
  world.pass(kSecond);
  for (Caller* caller : callers) EXPECT_EQ(caller->answers.size(), 1u);
}

TEST(ServiceTest, QueuedRequestOfADisconnectedCallerDoesNotRun) {
  FakeWorld world;
  world.engine_up();
  world.read("a");
  world.read("b");
  Caller& queued = world.read("c");
  world.service.caller_disconnected(*queued.request);
  world.done("a");
  world.done("b");
  EXPECT_EQ(world.count("run c"), 0);
  EXPECT_EQ(queued.only(), "0");
}

TEST(HealthChecksTest, ProbesTestTheEngineOnceAndTimeOut) {
  FakeWorld world;
  world.engine_up();
  Caller one, two, three, four, five;
  world.service.health_check(one, true);
  world.service.health_check(two, true);
  EXPECT_EQ(world.count("test"), 1);
  world.service.engine().test_completed(world.test_token, true);
  EXPECT_EQ(one.only(), "completed ");
  EXPECT_EQ(two.only(), "completed ");
  world.service.health_check(three, true);
  world.pass(2 * kSecond);
  EXPECT_EQ(three.only(), "denied");
  world.service.health_check(five, true);
  // The engine allows no self-tests, so the reported health decides.
  world.service.engine().command_ignored("TEST", "");
  EXPECT_EQ(five.only(), "completed ");
  world.service.engine().link_lost();
  world.service.health_check(four, true);
  EXPECT_EQ(four.only(), "denied");
}

TEST(DrainTest, RequestsWithinTheGraceRunAndTheListenerClosesOnceAllAreAnswered) {
  FakeWorld world;
  world.engine_up();
  world.service.begin_drain();
  EXPECT_FALSE(world.healthy);
  Caller& early = world.read("a");
  EXPECT_EQ(world.count("run a"), 1);
  world.pass(1100 * kMs);
  Caller& late = world.read("b");
  EXPECT_EQ(late.only(), "denied");
  EXPECT_EQ(world.count("finish"), 0);
  world.done("a");
  EXPECT_EQ(early.only(), "completed result");
  EXPECT_EQ(world.count("finish"), 1);
}

TEST(DrainTest, EveryRequestIsAnsweredBeforeTheStop) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kReadClass, "", 60 * kSecond);
  world.service.begin_drain();
  world.pass(2950 * kMs);
  EXPECT_EQ(caller.only(), "terminated");
  EXPECT_EQ(world.count("finish"), 1);
}

}  // namespace
}  // namespace myrtlecroft
