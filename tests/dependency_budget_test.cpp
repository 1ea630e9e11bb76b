// When calls to the shared dependency are issued, skipped, repeated and abandoned.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(DependencyBudgetTest, CallsStayWithinTheShareAndAbandonedOnesStillCount) {
  ControllerHarness server;
  Request& first = server.receive(kRequiredCallClass);
  Request& second = server.receive(kRequiredCallClass);
  server.controller.call_needed(first, server.now);
  server.controller.call_needed(second, server.now);
  EXPECT_EQ(server.count("call"), 1);
  Request& third = server.receive();
  EXPECT_EQ(server.last_action(third), "run") << "a waiting call does not count as running";
  server.controller.call_ended(first, Outcome::kOk, 50 * kMs, server.now);
  server.advance(200 * kMs);
  EXPECT_EQ(server.count("call"), 2);
}

TEST(DependencyBudgetTest, LostCallOfAKeyedRequestIsNotRepeated) {
  ControllerHarness server;
  Request& request = server.receive(kRequiredCallClass);
  server.controller.call_needed(request, server.now);
  server.controller.call_ended(request, Outcome::kReset, 10 * kMs, server.now);
  EXPECT_EQ(server.count("call"), 1);
  EXPECT_EQ(server.last_action(request), "fail");
}

TEST(DependencyBudgetTest, CallThatNeverRanIsRepeated) {
  ControllerHarness server;
  Request& request = server.receive(kRequiredCallClass);
  server.controller.call_needed(request, server.now);
  server.controller.call_ended(request, Outcome::kUnreachable, 10 * kMs, server.now);
  server.advance(500 * kMs);
  EXPECT_EQ(server.count("call"), 2);
}

TEST(DependencyBudgetTest, CallOvertakenByALaterOneIsRepeatedAndDoesNotSlowOthers) {
  ControllerHarness server(config_with_dependency_share(20));
  server.serve_calls(10, 25 * kMs);
  Request& stuck = server.receive(kOptionalCallClass);
  server.controller.call_needed(stuck, server.now);
  server.serve_calls(12, 25 * kMs);
  EXPECT_EQ(server.count("abandon call"), 1);
  EXPECT_EQ(server.last_action(stuck), "call");
  Request& next = server.receive(kOptionalCallClass);
  server.controller.call_needed(next, server.now);
  EXPECT_EQ(server.last_action(next), "call");
}

TEST(DependencyBudgetTest, LostCallOfAnIdempotentRequestIsRepeatedOnce) {
  ControllerHarness server;
  Request& request = server.receive(kOptionalCallClass);
  server.controller.call_needed(request, server.now);
  server.controller.call_ended(request, Outcome::kReset, 10 * kMs, server.now);
  EXPECT_EQ(server.last_action(request), "call");
  server.controller.call_ended(request, Outcome::kReset, 10 * kMs, server.now);
  EXPECT_EQ(server.last_action(request), "skip call");
}

TEST(DependencyBudgetTest, RequestWithoutASlotDoesNotKeepOthersFromIdleCores) {
  ControllerHarness server(config_with_dependency_share(1, config_limited_by_the_window_alone()));
  server.serve_calls(10, 25 * kMs);
  server.serve_calls(10, kSecond);
  for (int i = 0; i < 5; ++i) server.controller.call_needed(server.receive(kRequiredCallClass), server.now);
  server.receive_many(2);
  Request& running = server.requests.back();
  Request& caller = server.receive(kRequiredCallClass, [](Request& request) { request.arrived -= kMs; });
  Request& read = server.receive();
  EXPECT_EQ(server.last_action(read), "");
  server.complete(running);
  EXPECT_EQ(server.last_action(caller), "reject");
  EXPECT_EQ(server.last_action(read), "run");
}

TEST(DependencyBudgetTest, RequestThatWaitsPastItsObjectiveForASlowDependencyFreesItsSlot) {
  ControllerHarness server(config_with_dependency_share(1));
  server.serve_calls(10, 25 * kMs);
  server.serve_calls(3, kSecond);
  Request& called = server.receive(kRequiredCallClass);
  Request& waiting = server.receive(kRequiredCallClass);
  server.controller.call_needed(called, server.now);
  server.controller.call_needed(waiting, server.now);
  server.advance(2 * kSecond + 100 * kMs);
  EXPECT_EQ(server.last_action(waiting), "fail");
}

TEST(DependencyBudgetTest, SlowDependencyIsSkippedWhereTheAnswerKeepsValueWithoutIt) {
  ControllerHarness server;
  Request& caller = server.receive(kRequiredCallClass);
  server.controller.call_needed(caller, server.now);
  Request& skipper = server.receive(kOptionalCallClass);
  server.controller.call_needed(skipper, server.now);
  server.advance(2 * kSecond);
  server.controller.call_ended(skipper, Outcome::kTimedOut, kSecond, server.now);
  EXPECT_EQ(server.last_action(skipper), "skip call");
}

TEST(DependencyBudgetTest, CallTakesNoLongerThanASmallShareAllows) {
  ControllerHarness server(config_with_dependency_share(0.4));
  server.controller.call_needed(server.receive(kOptionalCallClass), server.now);
  EXPECT_EQ(server.count("call"), 1);
  EXPECT_LE(server.max_call_duration, 1 * kSecond)
      << "a share of 0.4 calls over 5 s allows 2 s for all calls in flight";
  EXPECT_GE(server.max_call_duration, 300 * kMs);
}

TEST(DependencyBudgetTest, WithoutAnyShareRequestsThatRequireACallAreRejectedAndOthersSkipIt) {
  ControllerHarness server(config_with_dependency_share(0));
  EXPECT_EQ(server.last_action(server.receive(kRequiredCallClass)), "reject");
  Request& skipper = server.receive(kOptionalCallClass);
  server.controller.call_needed(skipper, server.now);
  EXPECT_EQ(server.last_action(skipper), "skip call");
}

TEST(DependencyBudgetTest, TinyShareStillAllowsQuickCalls) {
  ControllerHarness server(config_with_dependency_share(0.02));
  for (int i = 0; i < 3; ++i) {
    Request& request = server.receive(kRequiredCallClass);
    server.controller.call_needed(request, server.now);
    EXPECT_EQ(server.last_action(request), "call");
    server.controller.call_ended(request, Outcome::kOk, 5 * kMs, server.now);
    server.complete(request);
    server.advance(5 * kSecond);
  }
}

TEST(DependencyBudgetTest, CallsAreIssuedAgainAfterSomeWereAbandoned) {
  ControllerHarness server(config_with_dependency_share(0.4));
  for (int i = 0; i < 3; ++i) {
    Request& lost = server.receive(kOptionalCallClass);
    server.controller.call_needed(lost, server.now);
    server.advance(800 * kMs);
    server.controller.call_ended(lost, Outcome::kTimedOut, 800 * kMs, server.now);
    server.complete(lost);
  }
  int calls_before = server.count("call");
  server.advance(30 * kSecond);
  server.controller.call_needed(server.receive(kRequiredCallClass), server.now);
  server.advance(100 * kMs);
  EXPECT_EQ(server.count("call"), calls_before + 1);
}

TEST(DependencyBudgetTest, SlowCallTimeIsNotForgottenWhileNoCallIsMade) {
  ControllerHarness server(config_with_dependency_share(0.4));
  server.serve_calls(20, 25 * kMs);
  server.serve_calls(4, 400 * kMs);
  server.advance(10 * kSecond);
  Request& first = server.receive(kRequiredCallClass);
  server.controller.call_needed(first, server.now);
  server.controller.call_needed(server.receive(kRequiredCallClass), server.now);
  int calls_before = server.count("call");
  server.advance(400 * kMs);
  server.controller.call_ended(first, Outcome::kOk, 400 * kMs, server.now);
  server.advance(400 * kMs);
  EXPECT_EQ(server.count("call"), calls_before)
      << "the rate follows the measured slow calls, not the initial call time";
}

}  // namespace
}  // namespace myrtlecroft
