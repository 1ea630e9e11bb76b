// Keyed requests and shared answers: what retries get, and that nothing runs twice.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

// Owns the keys that begin with the letter.
struct OwnedByFirstLetter : service::ShardOwnership {
  bool admits(std::string_view key) const override { return key.starts_with(letter); }
  char letter = 'a';
};

TEST(KeyedRequestsTest, KeyOwnedByAnotherServerFailsAndIsNotRejected) {
  OwnedByFirstLetter ownership;
  FakeWorld world(two_core_config(), 1000, nullptr, &ownership);
  EXPECT_EQ(world.read("1", kWriteClass, "b1").only(), "terminated") << "nor before the engine is up";
  world.engine_up();
  EXPECT_EQ(world.read("2", kWriteClass, "b2").only(), "terminated");
  EXPECT_EQ(world.count("run 2"), 0);
  world.read("3", kWriteClass, "a3");
  world.read("4", kReadClass);
  EXPECT_EQ(world.count("run 3") + world.count("run 4"), 2);
}

TEST(KeyedRequestsTest, CompletedRequestIsAnsweredAfterItsShardMigrated) {
  OwnedByFirstLetter ownership;
  FakeWorld world(two_core_config(), 1000, nullptr, &ownership);
  world.engine_up();
  world.read("1", kWriteClass, "a1");
  world.done("1", Outcome::kOk, "once");
  ownership.letter = 'b';
  EXPECT_EQ(world.read("2", kWriteClass, "a1").only(), "completed once");
}

TEST(KeyedRequestsTest, RetryOfACompletedRequestGetsItsResult) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "once");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "completed once");
  EXPECT_EQ(world.count("run b"), 0);
}

TEST(KeyedRequestsTest, ConcurrentAttemptsRunOnce) {
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

TEST(KeyedRequestsTest, TimedOutRunStillAnswersItsRetry) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a", kWriteClass, "key", 300 * kMs);
  world.pass(300 * kMs);
  EXPECT_EQ(first.only(), "terminated");
  Caller& second = world.read("b", kWriteClass, "key");
  world.done("a", Outcome::kOk, "late");
  EXPECT_EQ(second.only(), "completed late");
}

TEST(KeyedRequestsTest, FailedRequestIsNotRunAgain) {
  FakeWorld world;
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kFailed, "");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "terminated");
}

// Otherwise a caller that guesses another's key would get its result.
TEST(KeyedRequestsTest, KnownKeyWithAnotherBodyFailsAndChangesNothing) {
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

TEST(KeyedRequestsTest, KeyOfARequestUnknownToTheEngineBlocksNoOther) {
  FakeWorld world;
  world.engine_up();
  Caller& fake = world.read("a", kWriteClass, "key", 2 * kSecond, "another body");
  Caller& real = world.read("b", kWriteClass, "key");
  world.service.engine().command_ignored("RUN", "a");
  EXPECT_TRUE(fake.unrecognized);
  world.done("b", Outcome::kOk, "once");
  EXPECT_EQ(real.only(), "completed once");
}

TEST(KeyedRequestsTest, RequestThatLeftTheQueueUnrunBlocksNoRetry) {
  FakeWorld world;
  world.engine_up();
  world.read("r1");  // both cores are busy
  world.read("r2");
  Caller& queued = world.read("a", kWriteClass, "key", kSecond);
  Caller& waits = world.read("b", kWriteClass, "key", 3 * kSecond);
  world.service.caller_disconnected(*queued.request);
  EXPECT_EQ(waits.only(), "terminated");  // the request it waits for will not run
  world.done("r1");
  world.done("r2");
  world.read("c", kWriteClass, "key");
  EXPECT_EQ(world.count("run c"), 1);
}

TEST(KeyedRequestsTest, WindowCoversAttemptsReceivedLateAndEndsAfterThat) {
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

// A window far shorter than the deadline. It counts from the accept time of the attempt that ran; a retry at
// any time within it, also in the event in which the key expires, never runs, and is never rejected.
enum class First { kQueued, kRuns, kJustEnded, kFailed, kAbandoned };
struct ShortWindowTest : testing::TestWithParam<First> {
  static ServiceConfig config() {
    ServiceConfig config = two_core_config();
    config.request_classes[kWriteClass].deduplication_window = 300 * kMs;
    return config;
  }
  // How many of the attempts so far were run.
  static long runs(const FakeWorld& world, int tries) {
    long all = 0;
    for (int i = 0; i <= tries; ++i) all += world.count("run try" + std::to_string(i));
    return all;
  }
};

TEST_P(ShortWindowTest, NoRetryRunsWithinTheWindow) {
  FakeWorld world(config());
  world.engine_up();
  bool queued = GetParam() == First::kQueued;
  if (queued) {  // both cores are busy
    world.read("x");
    world.read("y");
  }
  Nanos stamp = world.time;
  Nanos patience = GetParam() == First::kAbandoned ? 150 * kMs : 2 * kSecond;
  world.read("try0", kWriteClass, "key", patience);
  ASSERT_EQ(world.count("run try0"), queued ? 0 : 1);
  if (GetParam() == First::kJustEnded) world.done("try0", Outcome::kOk, "first");
  if (GetParam() == First::kFailed) world.done("try0", Outcome::kFailed, "");
  int tries = 0;
  Nanos last = stamp + config().request_classes[kWriteClass].deduplication_window;
  for (Nanos at = stamp + 10 * kMs; at <= last; at += 10 * kMs) {
    world.pass(at - world.time);
    Caller& retry = world.read("try" + std::to_string(++tries), kWriteClass, "key");
    for (const std::string& answer : retry.answers) EXPECT_NE(answer, "denied");
    EXPECT_LE(runs(world, tries), 1);
  }
  if (queued) world.done("x");
  if (GetParam() != First::kJustEnded && GetParam() != First::kFailed)
    world.done("try0", Outcome::kOk, "first");
  for (std::size_t i = 0; i < world.callers.size(); ++i) {
    if (i < (queued ? 2u : 0u)) continue;
    std::string expected = GetParam() == First::kFailed ? "terminated" : "completed first";
    if (GetParam() == First::kAbandoned && i == 0) expected = "terminated";
    EXPECT_EQ(world.callers[i].only(), expected) << i;
  }
  EXPECT_EQ(runs(world, tries), 1);
}

INSTANTIATE_TEST_SUITE_P(KeyedRequests, ShortWindowTest,
                         testing::Values(First::kQueued, First::kRuns, First::kJustEnded, First::kFailed,
                                         First::kAbandoned));

TEST(KeyedRequestsTest, RetryDoesNotRunBesideARunThatOutlivesItsWindow) {
  FakeWorld world(ShortWindowTest::config());
  world.engine_up();
  world.read("a", kWriteClass, "key", 100 * kMs);
  world.pass(10 * kSecond);
  Caller& retry = world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 0);
  world.done("a", Outcome::kOk, "late");
  EXPECT_EQ(retry.only(), "completed late");
  world.pass(10 * kSecond);
  world.read("c", kWriteClass, "key");
  EXPECT_EQ(world.count("run c"), 1);
}

TEST(KeyedRequestsTest, ResultBeyondTheBoundIsNotRetainedAndNothingRunsTwice) {
  FakeWorld world(two_core_config(), 10);
  world.engine_up();
  world.read("a", kWriteClass, "key");
  world.done("a", Outcome::kOk, "more than ten bytes");
  EXPECT_EQ(world.read("b", kWriteClass, "key").only(), "terminated");
  EXPECT_EQ(world.count("run b"), 0);
}

TEST(KeyedRequestsTest, ReadsOfOneSubjectShareAFreshAnswer) {
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

}  // namespace
}  // namespace myrtlecroft
