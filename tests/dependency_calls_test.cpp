// Calls to the dependency: replies, losses, rejections and time limits.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

TEST(DependencyCallsTest, ReplyIsFedToTheRun) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  EXPECT_EQ(world.count("call a"), 1);
  world.service.call_completed(*caller.request, CallResult::kSucceeded, "rows");
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.done("a");
  EXPECT_EQ(caller.only(), "completed result");
}

TEST(DependencyCallsTest, CallWithoutAReplyIsAbandonedAndTheAnswerIsInTime) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key", kSecond);
  world.need("a");
  world.pass(kSecond);
  EXPECT_GE(world.count("give up a"), 1);
  EXPECT_EQ(caller.only(), "terminated");
}

TEST(DependencyCallsTest, LostCallOfAKeyedRequestIsNotRetried) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kConnectionLost, "");
  EXPECT_EQ(world.count("call a"), 1);
  EXPECT_EQ(caller.only(), "terminated");
}

TEST(DependencyCallsTest, RejectedCallIsRetriedAfterAPause) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kAtCapacity, "");
  EXPECT_EQ(world.count("call a"), 1);
  world.pass(50 * kMs);
  EXPECT_EQ(world.count("call a"), 2);
}

TEST(DependencyCallsTest, EndOfTheRunAbandonsItsCall) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kCallerClass, "key");
  world.need("a");
  world.done("a", Outcome::kCanceled, "");
  EXPECT_EQ(world.count("give up a"), 1);
}

}  // namespace
}  // namespace myrtlecroft
