#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

// A server whose window alone decides: SLO times far away, so that the room never binds.
ServiceTerms window_only() {
  ServiceTerms terms = two_core_terms();
  for (EndpointGroup& group : terms.groups) group.slo_time = group.async_timeout = 3600 * kSecond;
  return terms;
}

// A server with another share of the dependency.
ServiceTerms sharing(double calls_share, ServiceTerms terms = two_core_terms()) {
  terms.calls_share = calls_share;
  return terms;
}

TEST(Window, DeniesBeyondFourTimesTheCoresAndStartsInArrivalOrder) {
  FakeHost host(window_only());
  host.read_many(2 + 8);
  EXPECT_EQ(host.count("run"), 2);
  EXPECT_EQ(host.count("deny"), 0);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  host.settle(host.exchanges[0]);
  EXPECT_EQ(host.last_of(host.exchanges[2]), "run");
  EXPECT_EQ(host.last_of(host.exchanges[3]), "");
}

TEST(Window, GrowsByOneEachTenthTimelyAnswer) {
  FakeHost host(window_only());
  host.serve(10);
  host.read_many(2 + 9);
  EXPECT_EQ(host.count("deny"), 0);
  EXPECT_EQ(host.last_of(host.read()), "deny");
}

TEST(Window, FailedAndLateEndsAreNoSuccess) {
  FakeHost host(window_only());
  host.serve(9);
  Exchange& failed = host.read();
  host.pass(100 * kMs);
  host.settle(failed, Outcome::kFailed);
  Exchange& abandoned = host.read(kReadGroup, [&](Exchange& ex) { ex.gives_up_at = host.now + 5 * kSecond; });
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(abandoned), "terminate");
  host.settle(abandoned);
  host.serve(9);
  host.read_many(2 + 2);  // the late answer had position 1: the window is at its floor
  EXPECT_EQ(host.count("deny"), 0);
  EXPECT_EQ(host.last_of(host.read()), "deny");
}

TEST(Window, FrontCheckDeniesWhatACutHasLeftFarBeyond) {
  ServiceTerms terms = window_only();
  terms.cores = 4;
  FakeHost host(terms);
  host.read_many(20);
  host.exchanges[4].due = host.now + kSecond;
  Exchange& last = host.exchanges.back();
  EXPECT_EQ(last.position, 16);
  host.settle(host.exchanges[0]);
  host.pass(kSecond);
  EXPECT_EQ(host.last_of(host.exchanges[4]), "terminate");  // a cut to the floor of 4
  for (Exchange& ex : host.exchanges) host.settle(ex);
  EXPECT_EQ(host.last_of(last), "deny");
  EXPECT_EQ(host.last_of(host.exchanges[12]), "run");
}

TEST(Due, RunningWorkIsTerminatedBeforeItsDueTimeAndKeepsItsCore) {
  FakeHost host;
  Exchange& first = host.read(kReadGroup, [&](Exchange& ex) { ex.gives_up_at = host.now + kSecond; });
  Exchange& second = host.read();
  host.pass(kSecond - 100 * kMs);
  EXPECT_EQ(host.last_of(first), "run");
  host.pass(100 * kMs);
  EXPECT_EQ(host.last_of(first), "terminate");
  EXPECT_EQ(host.last_of(second), "run");
  Exchange& third = host.read();
  EXPECT_EQ(host.last_of(third), "");
  host.settle(first);
  EXPECT_EQ(host.last_of(third), "run");
}

TEST(Due, StoppableWorkIsStoppedOnceAnswered) {
  ServiceTerms terms = two_core_terms();
  terms.stop_mode = StopMode::kFreeze;
  FakeHost host(terms);
  Exchange& ex = host.read();
  Exchange& write = host.read(kWriteGroup);
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(ex), "stop");
  EXPECT_EQ(host.last_of(write), "terminate");
}

TEST(Keys, ARepeatOfOneHeldRunningOrDoneJoinsItAndIsNeverRun) {
  FakeHost host;
  Exchange& first = host.read(kWriteGroup);
  EXPECT_EQ(host.count("keep"), 1);
  EXPECT_GE(host.kept_for, 10 * kSecond);
  EXPECT_EQ(host.last_of(host.repeat_of(first)), "attach");
  host.settle(first);
  EXPECT_EQ(host.last_of(host.repeat_of(first)), "attach");
  Exchange& unknown = host.read(kWriteGroup, [](Exchange& ex) { ex.repeats = true; });
  EXPECT_EQ(host.last_of(unknown), "attach");
}

TEST(Keys, TwoTriesInOneBatchNameEachOtherAndOneRuns) {
  FakeHost host;
  Exchange& second = host.exchanges.emplace_back();
  Exchange& first = host.repeat_of(second);
  second.group = first.group;
  second.arrived = host.now;
  second.repeats = true;
  second.prior = &first;
  host.controller.read(second, host.now);
  EXPECT_EQ(host.last_of(first), "run");
  EXPECT_EQ(host.last_of(second), "attach");
}

TEST(Keys, ARepeatOfARepeatThatWasTerminatedIsNotRunEither) {
  FakeHost host;
  Exchange& first = host.read(kWriteGroup);
  Exchange& second = host.repeat_of(first);
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(second), "terminate");
  EXPECT_EQ(host.last_of(host.repeat_of(second)), "attach");
}

TEST(Keys, OneDeniedUnrunGivesUpItsKey) {
  FakeHost host;
  host.read_many(2);
  Exchange& held = host.read(kWriteGroup);
  host.pass(4950 * kMs);
  EXPECT_EQ(host.count("drop key"), 1);
  EXPECT_EQ(held.phase, Phase::kOver);
}

TEST(Keys, NoRoomForAKeyDeniesBeforeTheRun) {
  ServiceTerms terms = two_core_terms();
  terms.key_kb = 60'000;
  FakeHost host(terms);
  EXPECT_EQ(host.last_of(host.read(kWriteGroup)), "run");
  EXPECT_EQ(host.last_of(host.read(kWriteGroup)), "deny");
}

TEST(Memory, NothingStartsThatWouldNotFit) {
  ServiceTerms terms = two_core_terms();
  terms.memory_kb = 100;
  FakeHost host(terms);
  host.read_many(2);
  EXPECT_EQ(host.count("run"), 2);
  EXPECT_EQ(host.last_of(host.read()), "deny");
}

TEST(Crowd, TheRunningLimitGrowsWhileCoresIdleUpToTheColdCeiling) {
  ServiceTerms terms = window_only();
  terms.cold = true;
  terms.cold_from = 0.5;
  terms.crowd_factor = 4;
  terms.warm_within = 100 * kSecond;
  FakeHost host(terms);
  host.read_many(10);
  host.pass(kSecond, 0.5);
  // 0.7 x 2 x (1 + 3 x a little over 0.5) is 3.5
  EXPECT_EQ(host.count("run"), 3);
}

TEST(Calls, TheyGoOutWithinTheShareAndAreFollowedWhenAbandoned) {
  FakeHost host;
  Exchange& first = host.read(kCallerGroup);
  Exchange& second = host.read(kCallerGroup);
  host.controller.reached_call(first, host.now);
  host.controller.reached_call(second, host.now);
  EXPECT_EQ(host.count("call"), 1);
  Exchange& third = host.read();
  EXPECT_EQ(host.last_of(third), "run") << "a waiting call does not count as running";
  host.controller.call_ended(first, Outcome::kOk, 50 * kMs, host.now);
  host.pass(200 * kMs);
  EXPECT_EQ(host.count("call"), 2);
}

TEST(Calls, ALostCallOfADeduplicatedExchangeIsNotRepeated) {
  FakeHost host;
  Exchange& ex = host.read(kCallerGroup);
  host.controller.reached_call(ex, host.now);
  host.controller.call_ended(ex, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.count("call"), 1);
  EXPECT_EQ(host.last_of(ex), "terminate");
}

TEST(Calls, OneThatNeverRanIsRepeated) {
  FakeHost host;
  Exchange& ex = host.read(kCallerGroup);
  host.controller.reached_call(ex, host.now);
  host.controller.call_ended(ex, Outcome::kUnreachable, 10 * kMs, host.now);
  host.pass(500 * kMs);
  EXPECT_EQ(host.count("call"), 2);
}

// A reply that never came made all others look slow: their calls were left out.
TEST(Calls, OneOvertakenByLaterOnesIsMadeAgainAndSaysNothingOfTheOthers) {
  FakeHost host(sharing(20));
  host.serve_calls(10, 25 * kMs);
  Exchange& stuck = host.read(kSkipperGroup);
  host.controller.reached_call(stuck, host.now);
  host.serve_calls(12, 25 * kMs);
  EXPECT_EQ(host.count("give up call"), 1);
  EXPECT_EQ(host.last_of(stuck), "call");
  Exchange& next = host.read(kSkipperGroup);
  host.controller.reached_call(next, host.now);
  EXPECT_EQ(host.last_of(next), "call");
}

TEST(Calls, ALostCallOfWhatMayRunAgainIsMadeAgainOnce) {
  FakeHost host;
  Exchange& ex = host.read(kSkipperGroup);
  host.controller.reached_call(ex, host.now);
  host.controller.call_ended(ex, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.last_of(ex), "call");
  host.controller.call_ended(ex, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.last_of(ex), "skip");
}

TEST(Calls, OneWithoutAPlaceDoesNotKeepOthersFromIdleCores) {
  FakeHost host(sharing(1, window_only()));
  host.serve_calls(10, 25 * kMs);
  host.serve_calls(10, kSecond);
  for (int i = 0; i < 5; ++i) host.controller.reached_call(host.read(kCallerGroup), host.now);
  host.read_many(2);
  Exchange& running = host.exchanges.back();
  Exchange& caller = host.read(kCallerGroup, [](Exchange& ex) { ex.arrived -= kMs; });
  Exchange& read = host.read();
  EXPECT_EQ(host.last_of(read), "");
  host.settle(running);
  EXPECT_EQ(host.last_of(caller), "deny");
  EXPECT_EQ(host.last_of(read), "run");
}

TEST(Calls, WhatWaitsForASlowDependencyPastItsSloTimeGivesUpItsPlace) {
  FakeHost host(sharing(1));
  host.serve_calls(10, 25 * kMs);
  host.serve_calls(3, kSecond);
  Exchange& called = host.read(kCallerGroup);
  Exchange& waiting = host.read(kCallerGroup);
  host.controller.reached_call(called, host.now);
  host.controller.reached_call(waiting, host.now);
  host.pass(2 * kSecond + 100 * kMs);
  EXPECT_EQ(host.last_of(waiting), "terminate");
}

TEST(Calls, ASlowDependencyIsLeftOutWhereThatKeepsBenefit) {
  FakeHost host;
  Exchange& caller = host.read(kCallerGroup);
  host.controller.reached_call(caller, host.now);
  Exchange& skipper = host.read(kSkipperGroup);
  host.controller.reached_call(skipper, host.now);
  host.pass(2 * kSecond);
  host.controller.call_ended(skipper, Outcome::kTimedOut, kSecond, host.now);
  EXPECT_EQ(host.last_of(skipper), "skip");
}

TEST(Calls, OneIsOutNoLongerThanASmallShareAllows) {
  FakeHost host(sharing(0.4));
  host.controller.reached_call(host.read(kSkipperGroup), host.now);
  EXPECT_EQ(host.count("call"), 1);
  EXPECT_LE(host.longest_call, 1 * kSecond) << "0.4 calls over 5 s are 2 s of calls, for all that is begun";
  EXPECT_GE(host.longest_call, 300 * kMs);
}

TEST(Calls, WithNoShareAtAllWhatNeedsACallIsDeniedAndTheRestGoesOnWithout) {
  FakeHost host(sharing(0));
  EXPECT_EQ(host.last_of(host.read(kCallerGroup)), "deny");
  Exchange& skipper = host.read(kSkipperGroup);
  host.controller.reached_call(skipper, host.now);
  EXPECT_EQ(host.last_of(skipper), "skip");
}

TEST(Calls, ATinyShareStillLetsQuickOnesOut) {
  FakeHost host(sharing(0.02));
  for (int i = 0; i < 3; ++i) {
    Exchange& ex = host.read(kCallerGroup);
    host.controller.reached_call(ex, host.now);
    EXPECT_EQ(host.last_of(ex), "call");
    host.controller.call_ended(ex, Outcome::kOk, 5 * kMs, host.now);
    host.settle(ex);
    host.pass(5 * kSecond);
  }
}

TEST(Calls, AfterOnesGivenUpOnTheyGoOutAgain) {
  FakeHost host(sharing(0.4));
  for (int i = 0; i < 3; ++i) {
    Exchange& lost = host.read(kSkipperGroup);
    host.controller.reached_call(lost, host.now);
    host.pass(800 * kMs);
    host.controller.call_ended(lost, Outcome::kTimedOut, 800 * kMs, host.now);
    host.settle(lost);
  }
  int before = host.count("call");
  host.pass(30 * kSecond);
  host.controller.reached_call(host.read(kCallerGroup), host.now);
  host.pass(100 * kMs);
  EXPECT_EQ(host.count("call"), before + 1);
}

TEST(Calls, ASlowTimeIsNotForgottenWhileNoneIsMade) {
  FakeHost host(sharing(0.4));
  host.serve_calls(20, 25 * kMs);
  host.serve_calls(4, 400 * kMs);
  host.pass(10 * kSecond);
  Exchange& first = host.read(kCallerGroup);
  host.controller.reached_call(first, host.now);
  host.controller.reached_call(host.read(kCallerGroup), host.now);
  int before = host.count("call");
  host.pass(400 * kMs);
  host.controller.call_ended(first, Outcome::kOk, 400 * kMs, host.now);
  host.pass(400 * kMs);
  EXPECT_EQ(host.count("call"), before) << "the rate follows the slow calls, not a first guess";
}

TEST(Connections, IdleOnesAreClosedSoonWhereManyCallersComeRarely) {
  ServiceTerms terms = two_core_terms();
  terms.callers = 1000;
  FakeHost host(terms);
  host.pass(10 * kSecond, 2, 70);
  EXPECT_LT(host.idle_limit, kSecond) << "a full table turns callers away unseen";
  host.pass(10 * kSecond, 12, 70);
  EXPECT_EQ(host.idle_limit, 30 * kSecond) << "in a storm of tries a full table keeps them out";
}

TEST(Connections, FewCallersKeepTheirs) {
  FakeHost host;
  for (int i = 0; i < 20; ++i) host.serve(1, 200 * kMs), host.pass(100 * kMs, 2, 25);
  EXPECT_EQ(host.idle_limit, 0) << "never asked for: they come back soon";
}

TEST(Drain, WhatComesAfterTheGraceIsDeniedAndAllIsAnsweredBeforeTheStop) {
  FakeHost host;
  Exchange& running = host.read(kWriteGroup);
  host.controller.leave_by(host.now + 3 * kSecond, host.now);
  EXPECT_FALSE(host.healthy);
  host.pass(kSecond);
  EXPECT_EQ(host.last_of(host.read()), "run");
  host.pass(100 * kMs);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_EQ(host.last_of(host.repeat_of(running)), "terminate");
  host.pass(1800 * kMs);
  for (const Exchange& ex : host.exchanges) EXPECT_TRUE(ex.answered || ex.phase == Phase::kOver);
}

TEST(Modes, HungWorkIsReportedAndTrialRunsBringItBack) {
  FakeHost host;
  host.serve(20);
  host.read_many(4);
  host.pass(2 * kSecond);
  EXPECT_FALSE(host.healthy);
  EXPECT_EQ(host.count("deny"), 2) << "what was held is told at once";
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_EQ(host.stay_away, host.terms.longest_pause);
  for (Exchange& ex : host.exchanges) {
    if (ex.phase == Phase::kRunning) host.settle(ex);
  }
  EXPECT_TRUE(host.healthy) << "without it no trial would come";
  host.read_many(2);
  EXPECT_EQ(host.last_of(host.read()), "deny") << "two trial runs at once";
  host.settle(host.exchanges[host.exchanges.size() - 2]);
  host.settle(host.exchanges[host.exchanges.size() - 3]);
  host.serve(6);
  host.read_many(2);
  EXPECT_EQ(host.last_of(host.read()), "");
}

TEST(Modes, AfterAStallWindowAndPaceDoNotRememberIt) {
  FakeHost host;
  host.serve(20);
  host.read_many(2);
  host.pass(10 * kSecond);
  for (Exchange& ex : host.exchanges) host.settle(ex);
  host.serve(6);
  host.read_many(2 + 7);
  EXPECT_EQ(host.last_of(host.exchanges.back()), "") << "the window starts anew, and work takes what it took";
}

TEST(Modes, ASickServerThatGetsNoTrafficComesBackByItself) {
  FakeHost host;
  for (int i = 0; i < 10; ++i) host.settle(host.read(), Outcome::kFailed);
  EXPECT_FALSE(host.healthy);
  host.pass(4 * kSecond);
  EXPECT_TRUE(host.healthy);
}

TEST(Modes, FastFailuresDoNotLookQuick) {
  FakeHost host;
  for (int i = 0; i < 10; ++i) {
    Exchange& ex = host.read();
    host.pass(25 * kMs);
    host.settle(ex, Outcome::kFailed);
  }
  EXPECT_FALSE(host.healthy);
}

TEST(Room, FollowsThePaceAndTheSloTime) {
  FakeHost host;
  host.serve(40, 500 * kMs);
  host.read_many(2);
  int taken = 0;
  while (host.last_of(host.read()) != "deny") ++taken;
  EXPECT_GE(taken, 2);
  EXPECT_LE(taken, 5) << "two cores, half a second each, two seconds of SLO time";
}

TEST(Room, ACustomerFarBeyondItsQuotaIsDeniedFirst) {
  FakeHost host;
  auto of = [&](int customer) {
    return [&host, customer](Exchange& ex) {
      ex.customer = &host.terms.customers[static_cast<std::size_t>(customer)];
    };
  };
  host.serve(20, 200 * kMs);
  for (int i = 0; i < 14; ++i) host.read(kReadGroup, of(1));
  EXPECT_EQ(host.last_of(host.read(kReadGroup, of(1))), "deny");
  EXPECT_NE(host.last_of(host.read(kReadGroup, of(0))), "deny");
}

TEST(Room, OneExchangeOfASmallCustomerIsNotFarBeyondItsPartOfTheQuota) {
  ServiceTerms terms = two_core_terms();
  terms.servers = 100;
  FakeHost host(terms);
  host.serve(20, 400 * kMs);
  host.read_many(2 + 3);
  auto of_small = [&](Exchange& ex) { ex.customer = &host.terms.customers[1]; };
  EXPECT_EQ(host.last_of(host.read(kReadGroup, of_small)), "");
}

TEST(Advice, ADenialIsPassedToTheClientOnlyWhereTheFleetIsShort) {
  FakeHost host;
  host.serve(20, 200 * kMs);
  host.read_many(12);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_FALSE(host.not_elsewhere) << "a few denials: others have room";
  host.read_many(30);
  EXPECT_TRUE(host.not_elsewhere);
}

TEST(Advice, TheAllowanceFollowsThePaceOfASlowServer) {
  ServiceTerms terms = two_core_terms();
  terms.free_value = FreeValue::kAllowance;
  FakeHost host(terms);
  host.serve(20, 100 * kMs);
  double quick = host.advertised;
  host.serve(40, 500 * kMs);
  EXPECT_LT(host.advertised, 0.7 * quick);
}

TEST(Advice, AnAllowanceOfMoreCallersThanPlacesFallsUnderOneWithDenials) {
  ServiceTerms terms = two_core_terms();
  terms.free_value = FreeValue::kAllowance;
  terms.callers = 1000;
  FakeHost host(terms);
  host.pass(kSecond);
  EXPECT_EQ(host.advertised, 1);
  host.read_many(60);
  host.pass(2 * kSecond);
  EXPECT_LT(host.advertised, 0.8);
}

TEST(Advice, AFloorRisesWithDenialsAndFallsWithoutThem) {
  ServiceTerms terms = two_core_terms();
  terms.free_value = FreeValue::kFloor;
  FakeHost host(terms);
  host.read_many(100);
  host.pass(2 * kSecond);
  EXPECT_GT(host.advertised, 0.2);
  for (Exchange& ex : host.exchanges) host.settle(ex);
  host.serve(400);
  EXPECT_EQ(host.advertised, 0);
}

TEST(Keys, ReadsThatShareAnswersKeepKeysOnlyWhileMemoryIsToSpare) {
  ServiceTerms terms = two_core_terms();
  terms.fresh_for = 2 * kSecond;
  terms.key_kb = 30'000;
  FakeHost host(terms);
  for (int i = 0; i < 4; ++i) host.read(kReadGroup, [](Exchange& ex) { ex.has_subject = true; });
  EXPECT_EQ(host.count("keep"), 2);
  EXPECT_EQ(host.count("deny"), 0);
}

TEST(Modes, ABacklogOfUnreadExchangesIsNoReasonForBadHealth) {
  FakeHost host;
  for (int i = 0; i < 20; ++i)
    host.read(kReadGroup, [&](Exchange& ex) { ex.arrived = host.now - 1900 * kMs; });
  host.pass(100 * kMs);
  EXPECT_TRUE(host.healthy) << "a fleet swamped as a whole would fall one server after the other";
}

TEST(Front, WhatCanNoLongerMeetItsSloTimeGivesWay) {
  ServiceTerms terms = two_core_terms();
  FakeHost host(terms);
  host.serve(10);
  host.read_many(4);
  host.pass(400 * kMs);
  Exchange& old = host.exchanges[host.exchanges.size() - 2];
  old.wanted_by = host.now;
  host.settle(host.exchanges[host.exchanges.size() - 4]);
  EXPECT_EQ(host.last_of(old), "deny");
  EXPECT_EQ(host.last_of(host.exchanges.back()), "run");
}

}  // namespace
}  // namespace myrtlecroft
