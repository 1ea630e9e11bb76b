// Calls to the dependency: replies, losses, rejections and time limits.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

TEST(DependencyCallsTest, ReplyIsFedToTheRun) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  EXPECT_EQ(harness.count("call a"), 1);
  harness.service.call_completed(caller.id, CallResult::kSucceeded, "rows");
  EXPECT_EQ(harness.count("feed a rows"), 1);
  harness.done("a");
  EXPECT_EQ(caller.single_answer(), "completed result");
}

TEST(DependencyCallsTest, CallWithoutAReplyIsAbandonedAndTheAnswerIsInTime) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kRequiredCallClass, "key", kSecond);
  harness.request_call("a");
  harness.advance_time(kSecond);
  EXPECT_GE(harness.count("give up a"), 1);
  EXPECT_EQ(caller.single_answer(), "terminated");
}

TEST(DependencyCallsTest, LostCallOfAKeyedRequestIsNotRetried) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.service.call_completed(caller.id, CallResult::kConnectionLost, "");
  EXPECT_EQ(harness.count("call a"), 1);
  EXPECT_EQ(caller.single_answer(), "terminated");
}

TEST(DependencyCallsTest, RejectedCallIsRetriedAfterAPause) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.service.call_completed(caller.id, CallResult::kAtCapacity, "");
  EXPECT_EQ(harness.count("call a"), 1);
  harness.advance_time(50 * kMs);
  EXPECT_EQ(harness.count("call a"), 2);
}

TEST(DependencyCallsTest, EndOfTheRunAbandonsItsCall) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.done("a", Outcome::kCanceled, "");
  EXPECT_EQ(harness.count("give up a"), 1);
}

}  // namespace
}  // namespace myrtlecroft
