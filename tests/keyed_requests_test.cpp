// Keyed requests and shared answers: the answers to retries, and that nothing runs twice.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

// Admits the keys that begin with `letter`.
struct OwnedByFirstLetter : service::ShardOwnership {
  bool admits(std::string_view key) const override { return key.starts_with(letter); }
  char letter = 'a';
};

TEST(KeyedRequestsTest, KeyOwnedByAnotherServerFailsAndIsNotRejected) {
  OwnedByFirstLetter ownership;
  FakeWorld world(two_core_config(), 1000, nullptr, &ownership);
  EXPECT_EQ(world.read("1", kWriteClass, "b1").only(), "terminated") << "also before the engine is up";
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

// A caller that guesses the key of another caller must not get its result.
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

TEST(KeyedRequestsTest, KeyOfARequestUnknownToTheEngineDoesNotBlockAnother) {
  FakeWorld world;
  world.engine_up();
  Caller& forged = world.read("a", kWriteClass, "key", 2 * kSecond, "another body");
  Caller& genuine = world.read("b", kWriteClass, "key");
  world.service.engine().command_ignored("RUN", "a");
  EXPECT_TRUE(forged.unrecognized);
  world.done("b", Outcome::kOk, "once");
  EXPECT_EQ(genuine.only(), "completed once");
}

TEST(KeyedRequestsTest, RequestThatLeftTheQueueWithoutRunningDoesNotBlockItsRetry) {
  FakeWorld world;
  world.engine_up();
  world.read("r1");  // both cores are busy
  world.read("r2");
  Caller& queued = world.read("a", kWriteClass, "key", kSecond);
  Caller& waiting = world.read("b", kWriteClass, "key", 3 * kSecond);
  world.service.caller_disconnected(*queued.request);
  EXPECT_EQ(waiting.only(), "terminated");  // the request it waits for will not run
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

// Retries within a deduplication window that is far shorter than the deadline. The window counts from the
// time at which the first attempt was received. A retry within it must neither run nor be rejected, not even
// in the event in which the key expires.
enum class FirstAttempt { kQueued, kRunning, kJustEnded, kFailed, kAbandoned };
struct ShortWindowTest : testing::TestWithParam<FirstAttempt> {
  static ServiceConfig config() {
    ServiceConfig config = two_core_config();
    config.request_classes[kWriteClass].deduplication_window = 300 * kMs;
    return config;
  }
  // The number of attempts that have run so far.
  static long count_runs(const FakeWorld& world, int attempts) {
    long total = 0;
    for (int i = 0; i <= attempts; ++i) total += world.count("run try" + std::to_string(i));
    return total;
  }
};

TEST_P(ShortWindowTest, NoRetryRunsWithinTheWindow) {
  FakeWorld world(config());
  world.engine_up();
  bool queued = GetParam() == FirstAttempt::kQueued;
  if (queued) {  // both cores are busy
    world.read("x");
    world.read("y");
  }
  Nanos received_at = world.time;
  Nanos client_timeout = GetParam() == FirstAttempt::kAbandoned ? 150 * kMs : 2 * kSecond;
  world.read("try0", kWriteClass, "key", client_timeout);
  ASSERT_EQ(world.count("run try0"), queued ? 0 : 1);
  if (GetParam() == FirstAttempt::kJustEnded) world.done("try0", Outcome::kOk, "first");
  if (GetParam() == FirstAttempt::kFailed) world.done("try0", Outcome::kFailed, "");
  int attempts = 0;
  Nanos window_end = received_at + config().request_classes[kWriteClass].deduplication_window;
  for (Nanos at = received_at + 10 * kMs; at <= window_end; at += 10 * kMs) {
    world.pass(at - world.time);
    Caller& retry = world.read("try" + std::to_string(++attempts), kWriteClass, "key");
    for (const std::string& answer : retry.answers) EXPECT_NE(answer, "denied");
    EXPECT_LE(count_runs(world, attempts), 1);
  }
  if (queued) world.done("x");
  if (GetParam() != FirstAttempt::kJustEnded && GetParam() != FirstAttempt::kFailed)
    world.done("try0", Outcome::kOk, "first");
  for (std::size_t i = 0; i < world.callers.size(); ++i) {
    if (i < (queued ? 2u : 0u)) continue;
    std::string expected = GetParam() == FirstAttempt::kFailed ? "terminated" : "completed first";
    if (GetParam() == FirstAttempt::kAbandoned && i == 0) expected = "terminated";
    EXPECT_EQ(world.callers[i].only(), expected) << i;
  }
  EXPECT_EQ(count_runs(world, attempts), 1);
}

INSTANTIATE_TEST_SUITE_P(KeyedRequests, ShortWindowTest,
                         testing::Values(FirstAttempt::kQueued, FirstAttempt::kRunning,
                                         FirstAttempt::kJustEnded, FirstAttempt::kFailed,
                                         FirstAttempt::kAbandoned));

TEST(KeyedRequestsTest, RetryDoesNotRunWhileARunOutlivesItsWindow) {
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
