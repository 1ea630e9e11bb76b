#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

// A server whose window alone decides: latency objectives far away, so that the room never binds.
ServiceConfig window_only() {
  ServiceConfig config = two_core_config();
  for (RequestClass& request_class : config.request_classes)
    request_class.latency_objective = request_class.client_timeout = 3600 * kSecond;
  return config;
}

// A server with another share of the dependency.
ServiceConfig sharing(double dependency_share, ServiceConfig config = two_core_config()) {
  config.dependency_share = dependency_share;
  return config;
}

TEST(Window, DeniesBeyondFourTimesTheCoresAndStartsInArrivalOrder) {
  FakeHost host(window_only());
  host.read_many(2 + 8);
  EXPECT_EQ(host.count("run"), 2);
  EXPECT_EQ(host.count("deny"), 0);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  host.settle(host.requests[0]);
  EXPECT_EQ(host.last_of(host.requests[2]), "run");
  EXPECT_EQ(host.last_of(host.requests[3]), "");
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
  Request& failed = host.read();
  host.pass(100 * kMs);
  host.settle(failed, Outcome::kFailed);
  Request& abandoned =
      host.read(kReadClass, [&](Request& request) { request.client_deadline = host.now + 5 * kSecond; });
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(abandoned), "terminate");
  host.settle(abandoned);
  host.serve(9);
  host.read_many(2 + 2);  // the late answer had position 1: the window is at its floor
  EXPECT_EQ(host.count("deny"), 0);
  EXPECT_EQ(host.last_of(host.read()), "deny");
}

TEST(Window, FrontCheckDeniesWhatACutHasLeftFarBeyond) {
  ServiceConfig config = window_only();
  config.cores = 4;
  FakeHost host(config);
  host.read_many(20);
  host.requests[4].deadline = host.now + kSecond;
  Request& last = host.requests.back();
  EXPECT_EQ(last.position, 16);
  host.settle(host.requests[0]);
  host.pass(kSecond);
  EXPECT_EQ(host.last_of(host.requests[4]), "terminate");  // a cut to the floor of 4
  for (Request& request : host.requests) host.settle(request);
  EXPECT_EQ(host.last_of(last), "deny");
  EXPECT_EQ(host.last_of(host.requests[12]), "run");
}

TEST(Due, RunningWorkIsTerminatedBeforeItsDueTimeAndKeepsItsCore) {
  FakeHost host;
  Request& first =
      host.read(kReadClass, [&](Request& request) { request.client_deadline = host.now + kSecond; });
  Request& second = host.read();
  host.pass(kSecond - 100 * kMs);
  EXPECT_EQ(host.last_of(first), "run");
  host.pass(100 * kMs);
  EXPECT_EQ(host.last_of(first), "terminate");
  EXPECT_EQ(host.last_of(second), "run");
  Request& third = host.read();
  EXPECT_EQ(host.last_of(third), "");
  host.settle(first);
  EXPECT_EQ(host.last_of(third), "run");
}

TEST(Due, StoppableWorkIsStoppedOnceAnswered) {
  ServiceConfig config = two_core_config();
  config.stop_mode = StopMode::kFreeze;
  FakeHost host(config);
  Request& request = host.read();
  Request& write = host.read(kWriteClass);
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(request), "stop");
  EXPECT_EQ(host.last_of(write), "terminate");
}

TEST(Keys, ARepeatOfOneHeldRunningOrDoneJoinsItAndIsNeverRun) {
  FakeHost host;
  Request& first = host.read(kWriteClass);
  EXPECT_EQ(host.count("keep"), 1);
  EXPECT_GE(host.kept_for, 10 * kSecond);
  EXPECT_EQ(host.last_of(host.repeat_of(first)), "attach");
  host.settle(first);
  EXPECT_EQ(host.last_of(host.repeat_of(first)), "attach");
  Request& unknown = host.read(kWriteClass, [](Request& request) { request.is_retry = true; });
  EXPECT_EQ(host.last_of(unknown), "attach");
}

TEST(Keys, TwoTriesInOneBatchNameEachOtherAndOneRuns) {
  FakeHost host;
  Request& second = host.requests.emplace_back();
  Request& first = host.repeat_of(second);
  second.request_class = first.request_class;
  second.arrived = host.now;
  second.is_retry = true;
  second.original = &first;
  host.controller.request_received(second, host.now);
  EXPECT_EQ(host.last_of(first), "run");
  EXPECT_EQ(host.last_of(second), "attach");
}

TEST(Keys, ARepeatOfARepeatThatWasTerminatedIsNotRunEither) {
  FakeHost host;
  Request& first = host.read(kWriteClass);
  Request& second = host.repeat_of(first);
  host.pass(5 * kSecond);
  EXPECT_EQ(host.last_of(second), "terminate");
  EXPECT_EQ(host.last_of(host.repeat_of(second)), "attach");
}

TEST(Keys, OneDeniedUnrunGivesUpItsKey) {
  FakeHost host;
  host.read_many(2);
  Request& held = host.read(kWriteClass);
  host.pass(4950 * kMs);
  EXPECT_EQ(host.count("drop key"), 1);
  EXPECT_EQ(held.phase, Phase::kDone);
}

TEST(Keys, NoRoomForAKeyDeniesBeforeTheRun) {
  ServiceConfig config = two_core_config();
  config.key_kb = 60'000;
  FakeHost host(config);
  EXPECT_EQ(host.last_of(host.read(kWriteClass)), "run");
  EXPECT_EQ(host.last_of(host.read(kWriteClass)), "deny");
}

TEST(Memory, NothingStartsThatWouldNotFit) {
  ServiceConfig config = two_core_config();
  config.memory_kb = 100;
  FakeHost host(config);
  host.read_many(2);
  EXPECT_EQ(host.count("run"), 2);
  EXPECT_EQ(host.last_of(host.read()), "deny");
}

TEST(Crowd, TheRunningLimitGrowsWhileCoresIdleUpToTheColdCeiling) {
  ServiceConfig config = window_only();
  config.warming_up = true;
  config.warm_up_initial_speed = 0.5;
  config.max_running_per_core = 4;
  config.warm_up_time = 100 * kSecond;
  FakeHost host(config);
  host.read_many(10);
  host.pass(kSecond, 0.5);
  // 0.7 x 2 x (1 + 3 x a little over 0.5) is 3.5
  EXPECT_EQ(host.count("run"), 3);
}

TEST(Calls, TheyGoOutWithinTheShareAndAreFollowedWhenAbandoned) {
  FakeHost host;
  Request& first = host.read(kCallerClass);
  Request& second = host.read(kCallerClass);
  host.controller.call_needed(first, host.now);
  host.controller.call_needed(second, host.now);
  EXPECT_EQ(host.count("call"), 1);
  Request& third = host.read();
  EXPECT_EQ(host.last_of(third), "run") << "a waiting call does not count as running";
  host.controller.call_ended(first, Outcome::kOk, 50 * kMs, host.now);
  host.pass(200 * kMs);
  EXPECT_EQ(host.count("call"), 2);
}

TEST(Calls, ALostCallOfADeduplicatedExchangeIsNotRepeated) {
  FakeHost host;
  Request& request = host.read(kCallerClass);
  host.controller.call_needed(request, host.now);
  host.controller.call_ended(request, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.count("call"), 1);
  EXPECT_EQ(host.last_of(request), "terminate");
}

TEST(Calls, OneThatNeverRanIsRepeated) {
  FakeHost host;
  Request& request = host.read(kCallerClass);
  host.controller.call_needed(request, host.now);
  host.controller.call_ended(request, Outcome::kUnreachable, 10 * kMs, host.now);
  host.pass(500 * kMs);
  EXPECT_EQ(host.count("call"), 2);
}

// A reply that never came made all others look slow: their calls were left out.
TEST(Calls, OneOvertakenByLaterOnesIsMadeAgainAndSaysNothingOfTheOthers) {
  FakeHost host(sharing(20));
  host.serve_calls(10, 25 * kMs);
  Request& stuck = host.read(kSkipperClass);
  host.controller.call_needed(stuck, host.now);
  host.serve_calls(12, 25 * kMs);
  EXPECT_EQ(host.count("give up call"), 1);
  EXPECT_EQ(host.last_of(stuck), "call");
  Request& next = host.read(kSkipperClass);
  host.controller.call_needed(next, host.now);
  EXPECT_EQ(host.last_of(next), "call");
}

TEST(Calls, ALostCallOfWhatMayRunAgainIsMadeAgainOnce) {
  FakeHost host;
  Request& request = host.read(kSkipperClass);
  host.controller.call_needed(request, host.now);
  host.controller.call_ended(request, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.last_of(request), "call");
  host.controller.call_ended(request, Outcome::kReset, 10 * kMs, host.now);
  EXPECT_EQ(host.last_of(request), "skip");
}

TEST(Calls, OneWithoutAPlaceDoesNotKeepOthersFromIdleCores) {
  FakeHost host(sharing(1, window_only()));
  host.serve_calls(10, 25 * kMs);
  host.serve_calls(10, kSecond);
  for (int i = 0; i < 5; ++i) host.controller.call_needed(host.read(kCallerClass), host.now);
  host.read_many(2);
  Request& running = host.requests.back();
  Request& caller = host.read(kCallerClass, [](Request& request) { request.arrived -= kMs; });
  Request& read = host.read();
  EXPECT_EQ(host.last_of(read), "");
  host.settle(running);
  EXPECT_EQ(host.last_of(caller), "deny");
  EXPECT_EQ(host.last_of(read), "run");
}

TEST(Calls, WhatWaitsForASlowDependencyPastItsSloTimeGivesUpItsPlace) {
  FakeHost host(sharing(1));
  host.serve_calls(10, 25 * kMs);
  host.serve_calls(3, kSecond);
  Request& called = host.read(kCallerClass);
  Request& waiting = host.read(kCallerClass);
  host.controller.call_needed(called, host.now);
  host.controller.call_needed(waiting, host.now);
  host.pass(2 * kSecond + 100 * kMs);
  EXPECT_EQ(host.last_of(waiting), "terminate");
}

TEST(Calls, ASlowDependencyIsLeftOutWhereThatKeepsBenefit) {
  FakeHost host;
  Request& caller = host.read(kCallerClass);
  host.controller.call_needed(caller, host.now);
  Request& skipper = host.read(kSkipperClass);
  host.controller.call_needed(skipper, host.now);
  host.pass(2 * kSecond);
  host.controller.call_ended(skipper, Outcome::kTimedOut, kSecond, host.now);
  EXPECT_EQ(host.last_of(skipper), "skip");
}

TEST(Calls, OneIsOutNoLongerThanASmallShareAllows) {
  FakeHost host(sharing(0.4));
  host.controller.call_needed(host.read(kSkipperClass), host.now);
  EXPECT_EQ(host.count("call"), 1);
  EXPECT_LE(host.longest_call, 1 * kSecond) << "0.4 calls over 5 s are 2 s of calls, for all that is begun";
  EXPECT_GE(host.longest_call, 300 * kMs);
}

TEST(Calls, WithNoShareAtAllWhatNeedsACallIsDeniedAndTheRestGoesOnWithout) {
  FakeHost host(sharing(0));
  EXPECT_EQ(host.last_of(host.read(kCallerClass)), "deny");
  Request& skipper = host.read(kSkipperClass);
  host.controller.call_needed(skipper, host.now);
  EXPECT_EQ(host.last_of(skipper), "skip");
}

TEST(Calls, ATinyShareStillLetsQuickOnesOut) {
  FakeHost host(sharing(0.02));
  for (int i = 0; i < 3; ++i) {
    Request& request = host.read(kCallerClass);
    host.controller.call_needed(request, host.now);
    EXPECT_EQ(host.last_of(request), "call");
    host.controller.call_ended(request, Outcome::kOk, 5 * kMs, host.now);
    host.settle(request);
    host.pass(5 * kSecond);
  }
}

TEST(Calls, AfterOnesGivenUpOnTheyGoOutAgain) {
  FakeHost host(sharing(0.4));
  for (int i = 0; i < 3; ++i) {
    Request& lost = host.read(kSkipperClass);
    host.controller.call_needed(lost, host.now);
    host.pass(800 * kMs);
    host.controller.call_ended(lost, Outcome::kTimedOut, 800 * kMs, host.now);
    host.settle(lost);
  }
  int before = host.count("call");
  host.pass(30 * kSecond);
  host.controller.call_needed(host.read(kCallerClass), host.now);
  host.pass(100 * kMs);
  EXPECT_EQ(host.count("call"), before + 1);
}

TEST(Calls, ASlowTimeIsNotForgottenWhileNoneIsMade) {
  FakeHost host(sharing(0.4));
  host.serve_calls(20, 25 * kMs);
  host.serve_calls(4, 400 * kMs);
  host.pass(10 * kSecond);
  Request& first = host.read(kCallerClass);
  host.controller.call_needed(first, host.now);
  host.controller.call_needed(host.read(kCallerClass), host.now);
  int before = host.count("call");
  host.pass(400 * kMs);
  host.controller.call_ended(first, Outcome::kOk, 400 * kMs, host.now);
  host.pass(400 * kMs);
  EXPECT_EQ(host.count("call"), before) << "the rate follows the slow calls, not a first guess";
}

TEST(Connections, IdleOnesAreClosedSoonWhereManyCallersComeRarely) {
  ServiceConfig config = two_core_config();
  config.callers = 1000;
  FakeHost host(config);
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
  Request& running = host.read(kWriteClass);
  host.controller.begin_drain(host.now + 3 * kSecond, host.now);
  EXPECT_FALSE(host.healthy);
  host.pass(kSecond);
  EXPECT_EQ(host.last_of(host.read()), "run");
  host.pass(100 * kMs);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_EQ(host.last_of(host.repeat_of(running)), "terminate");
  host.pass(1800 * kMs);
  for (const Request& request : host.requests) EXPECT_TRUE(request.answered || request.phase == Phase::kDone);
}

TEST(Modes, HungWorkIsReportedAndTrialRunsBringItBack) {
  FakeHost host;
  host.serve(20);
  host.read_many(4);
  host.pass(2 * kSecond);
  EXPECT_FALSE(host.healthy);
  EXPECT_EQ(host.count("deny"), 2) << "what was held is told at once";
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_EQ(host.retry_after, host.config.max_retry_after);
  for (Request& request : host.requests) {
    if (request.phase == Phase::kRunning) host.settle(request);
  }
  EXPECT_TRUE(host.healthy) << "without it no trial would come";
  host.read_many(2);
  EXPECT_EQ(host.last_of(host.read()), "deny") << "two trial runs at once";
  host.settle(host.requests[host.requests.size() - 2]);
  host.settle(host.requests[host.requests.size() - 3]);
  host.serve(6);
  host.read_many(2);
  EXPECT_EQ(host.last_of(host.read()), "");
}

TEST(Modes, AfterAStallWindowAndPaceDoNotRememberIt) {
  FakeHost host;
  host.serve(20);
  host.read_many(2);
  host.pass(10 * kSecond);
  for (Request& request : host.requests) host.settle(request);
  host.serve(6);
  host.read_many(2 + 7);
  EXPECT_EQ(host.last_of(host.requests.back()), "") << "the window starts anew, and work takes what it took";
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
    Request& request = host.read();
    host.pass(25 * kMs);
    host.settle(request, Outcome::kFailed);
  }
  EXPECT_FALSE(host.healthy);
}

TEST(Capacity, FollowsThePaceAndTheSloTime) {
  FakeHost host;
  host.serve(40, 500 * kMs);
  host.read_many(2);
  int taken = 0;
  while (host.last_of(host.read()) != "deny") ++taken;
  EXPECT_GE(taken, 2);
  EXPECT_LE(taken, 5) << "two cores, half a second each, two seconds of SLO time";
}

TEST(Capacity, ACustomerFarBeyondItsQuotaIsDeniedFirst) {
  FakeHost host;
  auto of = [&](int tenant) {
    return [&host, tenant](Request& request) {
      request.tenant = &host.config.tenants[static_cast<std::size_t>(tenant)];
    };
  };
  host.serve(20, 200 * kMs);
  for (int i = 0; i < 14; ++i) host.read(kReadClass, of(1));
  EXPECT_EQ(host.last_of(host.read(kReadClass, of(1))), "deny");
  EXPECT_NE(host.last_of(host.read(kReadClass, of(0))), "deny");
}

TEST(Capacity, OneExchangeOfASmallCustomerIsNotFarBeyondItsPartOfTheQuota) {
  ServiceConfig config = two_core_config();
  config.servers = 100;
  FakeHost host(config);
  host.serve(20, 400 * kMs);
  host.read_many(2 + 3);
  auto of_small = [&](Request& request) { request.tenant = &host.config.tenants[1]; };
  EXPECT_EQ(host.last_of(host.read(kReadClass, of_small)), "");
}

TEST(Advice, ADenialIsPassedToTheClientOnlyWhereTheFleetIsShort) {
  FakeHost host;
  host.serve(20, 200 * kMs);
  host.read_many(12);
  EXPECT_EQ(host.last_of(host.read()), "deny");
  EXPECT_FALSE(host.no_failover) << "a few denials: others have room";
  host.read_many(30);
  EXPECT_TRUE(host.no_failover);
}

TEST(Advice, TheAllowanceFollowsThePaceOfASlowServer) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kAllowance;
  FakeHost host(config);
  host.serve(20, 100 * kMs);
  double quick = host.advertised;
  host.serve(40, 500 * kMs);
  EXPECT_LT(host.advertised, 0.7 * quick);
}

TEST(Advice, AnAllowanceOfMoreCallersThanPlacesFallsUnderOneWithDenials) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kAllowance;
  config.callers = 1000;
  FakeHost host(config);
  host.pass(kSecond);
  EXPECT_EQ(host.advertised, 1);
  host.read_many(60);
  host.pass(2 * kSecond);
  EXPECT_LT(host.advertised, 0.8);
}

TEST(Advice, AFloorRisesWithDenialsAndFallsWithoutThem) {
  ServiceConfig config = two_core_config();
  config.advertised_capacity = AdvertisedCapacity::kFloor;
  FakeHost host(config);
  host.read_many(100);
  host.pass(2 * kSecond);
  EXPECT_GT(host.advertised, 0.2);
  for (Request& request : host.requests) host.settle(request);
  host.serve(400);
  EXPECT_EQ(host.advertised, 0);
}

TEST(Keys, ReadsThatShareAnswersKeepKeysOnlyWhileMemoryIsToSpare) {
  ServiceConfig config = two_core_config();
  config.answer_sharing_window = 2 * kSecond;
  config.key_kb = 30'000;
  FakeHost host(config);
  for (int i = 0; i < 4; ++i) host.read(kReadClass, [](Request& request) { request.has_subject = true; });
  EXPECT_EQ(host.count("keep"), 2);
  EXPECT_EQ(host.count("deny"), 0);
}

TEST(Modes, ABacklogOfUnreadExchangesIsNoReasonForBadHealth) {
  FakeHost host;
  for (int i = 0; i < 20; ++i)
    host.read(kReadClass, [&](Request& request) { request.arrived = host.now - 1900 * kMs; });
  host.pass(100 * kMs);
  EXPECT_TRUE(host.healthy) << "a fleet swamped as a whole would fall one server after the other";
}

TEST(Front, WhatCanNoLongerMeetItsSloTimeGivesWay) {
  ServiceConfig config = two_core_config();
  FakeHost host(config);
  host.serve(10);
  host.read_many(4);
  host.pass(400 * kMs);
  Request& old = host.requests[host.requests.size() - 2];
  old.useful_until = host.now;
  host.settle(host.requests[host.requests.size() - 4]);
  EXPECT_EQ(host.last_of(old), "deny");
  EXPECT_EQ(host.last_of(host.requests.back()), "run");
}

}  // namespace
}  // namespace myrtlecroft
