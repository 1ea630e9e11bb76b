// The core of a real server, without sockets.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

TEST(Service, ACompletedRunAnswersWithItsResult) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a");
  EXPECT_EQ(world.count("run a"), 1);
  world.done("a", Outcome::kOk, "bytes");
  EXPECT_EQ(caller.only(), "completed bytes");
}

TEST(Service, BeforeTheEngineIsUpNothingRunsAndChecksSayNo) {
  FakeWorld world;
  Caller check;
  world.service.health_check(check, false);
  EXPECT_EQ(check.only(), "denied");
  EXPECT_EQ(world.read("a").only(), "denied");
  world.engine_up();
  EXPECT_TRUE(world.healthy);
}

TEST(Service, AnIdThatIsInHandDoesNotRunTwice) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a");
  EXPECT_EQ(world.read("a").only(), "terminated");
  world.done("a");
  EXPECT_EQ(first.only(), "completed result");
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(Service, ARunThatTheEngineRefusesIsAnsweredAndItsRepeatMayRun) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kWriteClass, "key");
  world.service.engine().not_carried_out("RUN", "a");
  EXPECT_EQ(caller.only(), "terminated");
  world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 1);
}

// ---- Keys

// Admits what begins with the letter it is told.
struct LetterGate : service::ShardOwnership {
  bool admits(std::string_view key) const override { return key.starts_with(letter); }
  char letter = 'a';
};

TEST(Keys, AKeyThatIsAnotherNodesEndsAndIsNotDenied) {
  LetterGate gate;
  FakeWorld world(two_core_config(), 1000, nullptr, &gate);
  EXPECT_EQ(world.read("1", kWriteClass, "b1").only(), "terminated") << "nor before the engine is up";
  world.engine_up();
  EXPECT_EQ(world.read("2", kWriteClass, "b2").only(), "terminated");
  EXPECT_EQ(world.count("run 2"), 0);
  world.read("3", kWriteClass, "a3");
  world.read("4", kReadClass);
  EXPECT_EQ(world.count("run 3") + world.count("run 4"), 2);
}

TEST(Keys, WhatRanHereIsAnsweredThoughItsShardHasMoved) {
  LetterGate gate;
  FakeWorld world(two_core_config(), 1000, nullptr, &gate);
  world.engine_up();
  world.read("1", kWriteClass, "a1");
  world.done("1", Outcome::kOk, "once");
  gate.letter = 'b';
  EXPECT_EQ(world.read("2", kWriteClass, "a1").only(), "completed once");
}

TEST(Keys, ARepeatOfWhatRanGetsItsResult) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "once");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "completed once");
  EXPECT_EQ(world.count("run b"), 0);
}

TEST(Keys, TwoTriesThatComeTogetherRunOnce) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a", kWriteClass, "key");
  Caller& second = world.read("b", kWriteClass, "key");
  EXPECT_EQ(second.only(), "0");
  world.done("a", Outcome::kOk, "once");
  EXPECT_EQ(first.only(), "completed once");
  EXPECT_EQ(second.only(), "completed once");
  EXPECT_EQ(world.count("run b"), 0);
}

TEST(Keys, ARunGivenUpOnStillServesItsRepeat) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a", kWriteClass, "key", 300 * kMs);
  world.pass(300 * kMs);
  EXPECT_EQ(first.only(), "terminated");
  Caller& second = world.read("b", kWriteClass, "key");
  world.done("a", Outcome::kOk, "late");
  EXPECT_EQ(second.only(), "completed late");
}

TEST(Keys, WhatFailedIsNotRunAgainEither) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kFailed, "");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "terminated");
}

// A caller that sent another's key with a body of its own was given the other's result.
TEST(Keys, AnotherBodyUnderAKnownKeyGetsAnErrorAndDisturbsNothing) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "once");
  EXPECT_EQ(first.only(), "completed once");
  Caller& other = world.read("b", kWriteClass, "key", 2 * kSecond, "another body");
  EXPECT_EQ(other.only(), "terminated");
  EXPECT_TRUE(other.unrecognized);
  EXPECT_EQ(world.read("c", kWriteClass, "key").only(), "completed once");
}

TEST(Keys, AKeyTakenByWhatTheEngineDoesNotKnowBindsNoOther) {
  FakeWorld world;
  world.engine_up();
  Caller& fake = world.read("a", kWriteClass, "key", 2 * kSecond, "another body");
  Caller& real = world.read("b", kWriteClass, "key");
  world.service.engine().not_carried_out("RUN", "a");
  EXPECT_TRUE(fake.unrecognized);
  world.done("b", Outcome::kOk, "once");
  EXPECT_EQ(real.only(), "completed once");
}

TEST(Keys, OneThatLeftTheHoldUnrunBindsNoRepeat) {
  FakeWorld world;
  world.engine_up();
  world.read("r1"), world.read("r2");  // the cores are taken
  Caller& held = world.read("a", kWriteClass, "key", kSecond);
  Caller& waits = world.read("b", kWriteClass, "key", 3 * kSecond);
  world.service.caller_disconnected(*held.request);
  EXPECT_EQ(waits.only(), "terminated");  // what it waited for will not come
  world.done("r1"), world.done("r2");
  world.read("c", kWriteClass, "key");
  EXPECT_EQ(world.count("run c"), 1);
}

TEST(Keys, TheWindowHoldsForTriesReadLateAndEndsAfterThat) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "once");
  world.pass(10 * kSecond + 100 * kMs);
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "completed once");
  world.pass(2 * 5 * kSecond);
  world.read("c", kWriteClass, "key");
  EXPECT_EQ(world.count("run c"), 1);
}

// A window far shorter than the deadline. It counts from the accept stamp of the try that ran; a repeat at
// any time within it, also in the very turn in which the key runs out, never runs, and is never rejected.
enum class First { kHeld, kRuns, kJustEnded, kFailed, kAbandoned };
struct ShortWindow : testing::TestWithParam<First> {
  static ServiceConfig config() {
    ServiceConfig config = two_core_config();
    config.request_classes[kWriteClass].deduplication_window = 300 * kMs;
    return config;
  }
  // Which of the tries so far were run.
  static long runs(const FakeWorld& world, int tries) {
    long all = 0;
    for (int i = 0; i <= tries; ++i) all += world.count("run try" + std::to_string(i));
    return all;
  }
};

TEST_P(ShortWindow, NoRepeatRunsWithinIt) {
  FakeWorld world(config());
  world.engine_up();
  bool held = GetParam() == First::kHeld;
  if (held) world.read("x"), world.read("y");  // all cores
  Nanos stamp = world.time;
  Nanos patience = GetParam() == First::kAbandoned ? 150 * kMs : 2 * kSecond;
  world.read("try0", kWriteClass, "key", patience);
  ASSERT_EQ(world.count("run try0"), held ? 0 : 1);
  if (GetParam() == First::kJustEnded) world.done("try0", Outcome::kOk, "first");
  if (GetParam() == First::kFailed) world.done("try0", Outcome::kFailed, "");
  int tries = 0;
  Nanos last = stamp + config().request_classes[kWriteClass].deduplication_window;
  for (Nanos at = stamp + 10 * kMs; at <= last; at += 10 * kMs) {
    world.pass(at - world.time);
    Caller& repeat = world.read("try" + std::to_string(++tries), kWriteClass, "key");
    for (const std::string& answer : repeat.answers) EXPECT_NE(answer, "denied");
    EXPECT_LE(runs(world, tries), 1);
  }
  if (held) world.done("x");
  if (GetParam() != First::kJustEnded && GetParam() != First::kFailed)
    world.done("try0", Outcome::kOk, "first");
  for (std::size_t i = 0; i < world.callers.size(); ++i) {
    if (i < (held ? 2u : 0u)) continue;
    std::string wanted = GetParam() == First::kFailed ? "terminated" : "completed first";
    if (GetParam() == First::kAbandoned && i == 0) wanted = "terminated";
    EXPECT_EQ(world.callers[i].only(), wanted) << i;
  }
  EXPECT_EQ(runs(world, tries), 1);
}

INSTANTIATE_TEST_SUITE_P(Keys, ShortWindow,
                         testing::Values(First::kHeld, First::kRuns, First::kJustEnded, First::kFailed,
                                         First::kAbandoned));

// Where the first try runs on long past its window, a repeat does not run beside it.
TEST(Keys, ARunOutlivesItsWindow) {
  FakeWorld world(ShortWindow::config());
  world.engine_up();
  world.read("a", kWriteClass, "key", 100 * kMs);
  world.pass(10 * kSecond);
  Caller& repeat = world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 0);
  world.done("a", Outcome::kOk, "late");
  EXPECT_EQ(repeat.only(), "completed late");
  world.pass(10 * kSecond);
  world.read("c", kWriteClass, "key");
  EXPECT_EQ(world.count("run c"), 1);
}

TEST(Keys, AResultWithoutRoomIsNotKeptAndStillNothingRunsTwice) {
  FakeWorld world(two_core_config(), 10);
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "more than ten bytes");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "terminated");
  EXPECT_EQ(world.count("run b"), 0);
}

TEST(Keys, ReadsOfOneSubjectShareAnAnswerWhileItIsFresh) {
  ServiceConfig config = two_core_config();
  config.answer_sharing_window = kSecond;
  FakeWorld world(config);
  world.engine_up();
  world.read("a", kReadClass, "subject");
  Caller& second = world.read("b", kReadClass, "subject");
  world.done("a", Outcome::kOk, "seen");
  EXPECT_EQ(second.only(), "completed seen");
  world.pass(1100 * kMs);
  world.read("c", kReadClass, "subject");
  EXPECT_EQ(world.count("run c"), 1);
}

// ---- The link to the engine

TEST(Link, WhatCouldNotGoOutGoesOutOnceTheBacklogIsRead) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().lost();
  world.read("a");
  EXPECT_EQ(world.count("run a"), 0);
  world.service.engine().linked();
  world.service.engine().hello(false, 0);
  EXPECT_EQ(world.count("run a"), 0);
  world.answer_gauges();
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(Link, ARunThatWasSeenToArriveIsNotSentAgain) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kWriteClass, "key");
  world.pass(50 * kMs);
  world.answer_gauges();
  world.relink();
  EXPECT_EQ(world.count("run a"), 1);
  EXPECT_EQ(world.did.back(), "attach 0");
  world.done("a");
  EXPECT_EQ(caller.only(), "completed result");
}

TEST(Link, ARunInDoubtIsSentAgainOnlyWhereItMayRunTwice) {
  FakeWorld world;
  world.engine_up();
  world.read("read");
  world.read("write", kWriteClass, "key");
  world.relink();
  EXPECT_EQ(world.count("run read"), 2);
  EXPECT_EQ(world.count("run write"), 1);
}

TEST(Link, ARunInDoubtThatNeverEndsIsAnsweredInTimeAndGivesItsCoreBack) {
  FakeWorld world;
  world.engine_up();
  Caller& one = world.read("a", kWriteClass, "key", 500 * kMs);
  Caller& two = world.read("b", kWriteClass, "other", 500 * kMs);
  world.relink();
  world.pass(500 * kMs);
  EXPECT_EQ(one.only(), "terminated");
  EXPECT_EQ(two.only(), "terminated");
  EXPECT_EQ(world.read("c", kWriteClass, "key").only(), "terminated");
  world.pass(4 * kSecond);
  world.read("d");
  EXPECT_EQ(world.count("run d"), 1);
}

TEST(Link, ARunInDoubtWhoseCallerLeftGivesItsCoreBack) {
  FakeWorld world;
  world.engine_up();
  Caller& before = world.read("a", kWriteClass, "key");
  Caller& after = world.read("b", kWriteClass, "other");
  world.service.caller_disconnected(*before.request);
  world.relink();
  world.service.caller_disconnected(*after.request);
  world.read("c"), world.read("d");
  EXPECT_EQ(world.count("run c"), 1);
  EXPECT_EQ(world.count("run d"), 1);
  EXPECT_EQ(world.read("e", kWriteClass, "key").only(), "terminated");
}

TEST(Link, TheBacklogEndsRunsAndIsTakenOnce) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kWriteClass, "key");
  world.service.engine().lost();
  world.service.engine().linked();
  world.service.engine().hello(false, 0);
  world.done("a", Outcome::kOk, "first");
  --world.notices;
  world.done("a", Outcome::kOk, "again");
  world.answer_gauges();
  EXPECT_EQ(caller.only(), "completed first");
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(Link, AReplyInDoubtIsNotGivenToTheNextCall) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kRows, "rows");
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.pass(2 * kSecond);
  EXPECT_EQ(caller.only(), "terminated");
}

// Over each break of the link some runs and replies that may not be sent twice were left to their due time.
TEST(Link, WhereRunsAreSeenToCallOnceARunAndAReplyInDoubtAreSentAgain) {
  FakeWorld world;
  world.engine_up();
  for (int i = 0; i < 30; ++i) {
    std::string id = "before" + std::to_string(i);
    Caller& caller = world.read(id, kCallerClass, id);
    world.need(id);
    world.pass(100 * kMs);
    world.service.call_completed(*caller.request, CallResult::kRows, "rows");
    world.done(id);
  }
  world.pass(kSecond);
  Caller& called = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*called.request, CallResult::kRows, "rows");
  world.read("b", kCallerClass, "other");
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 2);
  EXPECT_EQ(world.count("run b"), 2);
}

TEST(Link, AReplyInDoubtBecomesASkipWhereTheCallMayBeLeftOut) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kSkipperClass);
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kRows, "rows");
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 1);
  EXPECT_EQ(world.count("skip a"), 1);
}

TEST(Link, ARunAnsweredBeforeItCouldGoOutNeverRuns) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().lost();
  Caller& caller = world.read("a", kWriteClass, "key", 300 * kMs);
  world.pass(300 * kMs);
  EXPECT_EQ(caller.only(), "terminated");
  world.engine_up();
  EXPECT_EQ(world.count("run a"), 0);
  world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 1);
}

// ---- Calls below

TEST(Calls, AReplyIsFedAndTheRunGoesOn) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  EXPECT_EQ(world.count("call a"), 1);
  world.service.call_completed(*caller.request, CallResult::kRows, "rows");
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.done("a");
  EXPECT_EQ(caller.only(), "completed result");
}

TEST(Calls, OneThatNeverComesBackIsGivenUpAndTheAnswerIsInTime) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key", kSecond);
  world.need("a");
  world.pass(kSecond);
  EXPECT_GE(world.count("give up a"), 1);
  EXPECT_EQ(caller.only(), "terminated");
}

TEST(Calls, ALostCallOfWhatMustNotHappenTwiceIsNotMadeAgain) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kConnectionLost, "");
  EXPECT_EQ(world.count("call a"), 1);
  EXPECT_EQ(caller.only(), "terminated");
}

TEST(Calls, OneTurnedAwayIsMadeAgainButNotInATightLoop) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kAtCapacity, "");
  EXPECT_EQ(world.count("call a"), 1);
  world.pass(50 * kMs);
  EXPECT_EQ(world.count("call a"), 2);
}

TEST(Calls, TheRunsEndGivesUpItsCall) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kCallerClass, "key");
  world.need("a");
  world.done("a", Outcome::kCanceled, "");
  EXPECT_EQ(world.count("give up a"), 1);
}

// ---- Due times, callers, health, drain

TEST(Due, EverythingIsAnsweredInTimeWhileAllBelowHangs) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().lost();
  std::vector<Caller*> callers;
  for (int i = 0; i < 6; ++i)
    callers.push_back(&world.read("x" + std::to_string(i), kReadClass, "", kSecond));
  world.pass(kSecond);
  for (Caller* caller : callers) EXPECT_EQ(caller->answers.size(), 1u);
}

TEST(Gone, WhatIsHeldForACallerThatLeftDoesNotRun) {
  FakeWorld world;
  world.engine_up();
  world.read("a"), world.read("b");
  Caller& held = world.read("c");
  world.service.caller_disconnected(*held.request);
  world.done("a"), world.done("b");
  EXPECT_EQ(world.count("run c"), 0);
  EXPECT_EQ(held.only(), "0");
}

TEST(Health, ProbesAskForWorkOnceAndNeverHang) {
  FakeWorld world;
  world.engine_up();
  Caller one, two, three, four, five;
  world.service.health_check(one, true);
  world.service.health_check(two, true);
  EXPECT_EQ(world.count("test"), 1);
  world.service.engine().tested(world.test_token, true);
  EXPECT_EQ(one.only(), "completed ");
  EXPECT_EQ(two.only(), "completed ");
  world.service.health_check(three, true);
  world.pass(2 * kSecond);
  EXPECT_EQ(three.only(), "denied");
  world.service.health_check(five, true);
  world.service.engine().not_carried_out("TEST", "");  // the site allows none: the report stands
  EXPECT_EQ(five.only(), "completed ");
  world.service.engine().lost();
  world.service.health_check(four, true);
  EXPECT_EQ(four.only(), "denied");
}

TEST(Drain, RunsWhatCameWithinTheGraceAndFinishesOnceAllIsAnswered) {
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

TEST(Drain, AllIsAnsweredBeforeTheStopWhateverHangs) {
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
