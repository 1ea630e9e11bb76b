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
  ServiceHarness harness(two_core_config(), 1000, nullptr, &ownership);
  EXPECT_EQ(harness.read("1", kWriteClass, "b1").single_answer(), "terminated")
      << "also before the engine is up";
  harness.engine_up();
  EXPECT_EQ(harness.read("2", kWriteClass, "b2").single_answer(), "terminated");
  EXPECT_EQ(harness.count("run 2"), 0);
  harness.read("3", kWriteClass, "a3");
  harness.read("4", kReadClass);
  EXPECT_EQ(harness.count("run 3") + harness.count("run 4"), 2);
}

TEST(KeyedRequestsTest, CompletedRequestIsAnsweredAfterItsShardMigrated) {
  OwnedByFirstLetter ownership;
  ServiceHarness harness(two_core_config(), 1000, nullptr, &ownership);
  harness.engine_up();
  harness.read("1", kWriteClass, "a1");
  harness.done("1", Outcome::kOk, "once");
  ownership.letter = 'b';
  EXPECT_EQ(harness.read("2", kWriteClass, "a1").single_answer(), "completed once");
}

TEST(KeyedRequestsTest, RetryOfACompletedRequestGetsItsResult) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("a", kWriteClass, "key");
  harness.done("a", Outcome::kOk, "once");
  EXPECT_EQ(harness.read("b", kWriteClass, "key").single_answer(), "completed once");
  EXPECT_EQ(harness.count("run b"), 0);
}

TEST(KeyedRequestsTest, ConcurrentAttemptsRunOnce) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& first = harness.read("a", kWriteClass, "key");
  Caller& second = harness.read("b", kWriteClass, "key");
  EXPECT_EQ(second.single_answer(), "0");
  harness.done("a", Outcome::kOk, "once");
  EXPECT_EQ(first.single_answer(), "completed once");
  EXPECT_EQ(second.single_answer(), "completed once");
  EXPECT_EQ(harness.count("run b"), 0);
}

TEST(KeyedRequestsTest, TimedOutRunStillAnswersItsRetry) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& first = harness.read("a", kWriteClass, "key", 300 * kMs);
  harness.advance_time(300 * kMs);
  EXPECT_EQ(first.single_answer(), "terminated");
  Caller& second = harness.read("b", kWriteClass, "key");
  harness.done("a", Outcome::kOk, "late");
  EXPECT_EQ(second.single_answer(), "completed late");
}

TEST(KeyedRequestsTest, FailedRequestIsNotRunAgain) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("a", kWriteClass, "key");
  harness.done("a", Outcome::kFailed, "");
  EXPECT_EQ(harness.read("b", kWriteClass, "key").single_answer(), "terminated");
}

// A caller that guesses the key of another caller must not get its result.
TEST(KeyedRequestsTest, KnownKeyWithAnotherBodyFailsAndChangesNothing) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& first = harness.read("a", kWriteClass, "key");
  harness.done("a", Outcome::kOk, "once");
  EXPECT_EQ(first.single_answer(), "completed once");
  Caller& other = harness.read("b", kWriteClass, "key", 2 * kSecond, "another body");
  EXPECT_EQ(other.single_answer(), "terminated");
  EXPECT_TRUE(other.unrecognized);
  EXPECT_EQ(harness.read("c", kWriteClass, "key").single_answer(), "completed once");
}

TEST(KeyedRequestsTest, KeyOfARequestUnknownToTheEngineDoesNotBlockAnother) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& forged = harness.read("a", kWriteClass, "key", 2 * kSecond, "another body");
  Caller& genuine = harness.read("b", kWriteClass, "key");
  harness.service.engine().command_ignored("RUN", "a");
  EXPECT_TRUE(forged.unrecognized);
  harness.done("b", Outcome::kOk, "once");
  EXPECT_EQ(genuine.single_answer(), "completed once");
}

TEST(KeyedRequestsTest, RequestThatLeftTheQueueWithoutRunningDoesNotBlockItsRetry) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("r1");  // both cores are busy
  harness.read("r2");
  Caller& queued = harness.read("a", kWriteClass, "key", kSecond);
  Caller& waiting = harness.read("b", kWriteClass, "key", 3 * kSecond);
  harness.service.caller_disconnected(queued.id, queued);
  EXPECT_EQ(waiting.single_answer(), "terminated");  // the request it waits for will not run
  harness.done("r1");
  harness.done("r2");
  harness.read("c", kWriteClass, "key");
  EXPECT_EQ(harness.count("run c"), 1);
}

TEST(KeyedRequestsTest, WindowCoversAttemptsReceivedLateAndEndsAfterThat) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("a", kWriteClass, "key");
  harness.done("a", Outcome::kOk, "once");
  harness.advance_time(10 * kSecond + 100 * kMs);
  EXPECT_EQ(harness.read("b", kWriteClass, "key").single_answer(), "completed once");
  harness.advance_time(2 * 5 * kSecond);
  harness.read("c", kWriteClass, "key");
  EXPECT_EQ(harness.count("run c"), 1);
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
  static long count_runs(const ServiceHarness& harness, int attempts) {
    long total = 0;
    for (int i = 0; i <= attempts; ++i) total += harness.count("run try" + std::to_string(i));
    return total;
  }
};

TEST_P(ShortWindowTest, NoRetryRunsWithinTheWindow) {
  ServiceHarness harness(config());
  harness.engine_up();
  bool queued = GetParam() == FirstAttempt::kQueued;
  if (queued) {  // both cores are busy
    harness.read("x");
    harness.read("y");
  }
  Nanos received_at = harness.time;
  Nanos client_timeout = GetParam() == FirstAttempt::kAbandoned ? 150 * kMs : 2 * kSecond;
  harness.read("try0", kWriteClass, "key", client_timeout);
  ASSERT_EQ(harness.count("run try0"), queued ? 0 : 1);
  if (GetParam() == FirstAttempt::kJustEnded) harness.done("try0", Outcome::kOk, "first");
  if (GetParam() == FirstAttempt::kFailed) harness.done("try0", Outcome::kFailed, "");
  int attempts = 0;
  Nanos window_end = received_at + config().request_classes[kWriteClass].deduplication_window;
  for (Nanos at = received_at + 10 * kMs; at <= window_end; at += 10 * kMs) {
    harness.advance_time(at - harness.time);
    Caller& retry = harness.read("try" + std::to_string(++attempts), kWriteClass, "key");
    for (const std::string& answer : retry.answers) EXPECT_NE(answer, "denied");
    EXPECT_LE(count_runs(harness, attempts), 1);
  }
  if (queued) harness.done("x");
  if (GetParam() != FirstAttempt::kJustEnded && GetParam() != FirstAttempt::kFailed)
    harness.done("try0", Outcome::kOk, "first");
  for (std::size_t i = 0; i < harness.callers.size(); ++i) {
    if (i < (queued ? 2u : 0u)) continue;
    std::string expected = GetParam() == FirstAttempt::kFailed ? "terminated" : "completed first";
    if (GetParam() == FirstAttempt::kAbandoned && i == 0) expected = "terminated";
    EXPECT_EQ(harness.callers[i].single_answer(), expected) << i;
  }
  EXPECT_EQ(count_runs(harness, attempts), 1);
}

INSTANTIATE_TEST_SUITE_P(KeyedRequests, ShortWindowTest,
                         testing::Values(FirstAttempt::kQueued, FirstAttempt::kRunning,
                                         FirstAttempt::kJustEnded, FirstAttempt::kFailed,
                                         FirstAttempt::kAbandoned));

TEST(KeyedRequestsTest, RetryDoesNotRunWhileARunOutlivesItsWindow) {
  ServiceHarness harness(ShortWindowTest::config());
  harness.engine_up();
  harness.read("a", kWriteClass, "key", 100 * kMs);
  harness.advance_time(10 * kSecond);
  Caller& retry = harness.read("b", kWriteClass, "key");
  EXPECT_EQ(harness.count("run b"), 0);
  harness.done("a", Outcome::kOk, "late");
  EXPECT_EQ(retry.single_answer(), "completed late");
  harness.advance_time(10 * kSecond);
  harness.read("c", kWriteClass, "key");
  EXPECT_EQ(harness.count("run c"), 1);
}

TEST(KeyedRequestsTest, ResultBeyondTheBoundIsNotRetainedAndNothingRunsTwice) {
  ServiceHarness harness(two_core_config(), 10);
  harness.engine_up();
  harness.read("a", kWriteClass, "key");
  harness.done("a", Outcome::kOk, "more than ten bytes");
  EXPECT_EQ(harness.read("b", kWriteClass, "key").single_answer(), "terminated");
  EXPECT_EQ(harness.count("run b"), 0);
}

TEST(KeyedRequestsTest, ReadsOfOneSubjectShareAFreshAnswer) {
  ServiceConfig config = two_core_config();
  config.answer_sharing_window = kSecond;
  ServiceHarness harness(config);
  harness.engine_up();
  harness.read("a", kReadClass, "subject");
  Caller& second = harness.read("b", kReadClass, "subject");
  harness.done("a", Outcome::kOk, "seen");
  EXPECT_EQ(second.single_answer(), "completed seen");
  harness.advance_time(1100 * kMs);
  harness.read("c", kReadClass, "subject");
  EXPECT_EQ(harness.count("run c"), 1);
}

}  // namespace
}  // namespace myrtlecroft
