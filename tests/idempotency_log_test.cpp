// Tests the service with an idempotency log: a keyed request runs only once its intent is durable, and
// retries after a restart are answered from the stored outcomes.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes.h"

namespace myrtlecroft {
namespace {

struct FakeIdempotencyLog : service::IdempotencyLog {
  bool accepts_writes() const override { return is_accepting_writes; }
  void record_intent(const service::ServerRequest& request, Nanos) override { intents.push_back(request.id); }
  void record_outcome(const service::ServerRequest& request, bool completed,
                      std::string_view result) override {
    outcomes.push_back((completed ? "completed " : "failed ") + request.id + " " + std::string(result));
  }
  void erase_intent(const service::ServerRequest& request) override {
    outcomes.push_back("never ran " + request.id);
  }
  bool is_accepting_writes = true;
  std::vector<std::string> intents;
  std::vector<std::string> outcomes;
};

struct IdempotencyLogTest : testing::Test {
  IdempotencyLogTest() { harness.engine_up(); }
  FakeIdempotencyLog log;
  ServiceHarness harness{two_core_config(), 1'000, &log};
};

TEST_F(IdempotencyLogTest, KeyedRequestRunsOnlyOnceItsIntentIsDurable) {
  Caller& caller = harness.read("a", kWriteClass, "k1");
  EXPECT_EQ(log.intents, std::vector<std::string>{"a"});
  EXPECT_EQ(harness.count("run a"), 0);
  harness.service.intent_recorded("a", true);
  EXPECT_EQ(harness.count("run a"), 1);
  harness.done("a", Outcome::kOk, "made");
  EXPECT_EQ(caller.single_answer(), "completed made");
  EXPECT_EQ(log.outcomes, std::vector<std::string>{"completed a made"});
}

TEST_F(IdempotencyLogTest, IdempotentRequestDoesNotWaitForTheDisk) {
  harness.read("a");
  EXPECT_TRUE(log.intents.empty());
  EXPECT_EQ(harness.count("run a"), 1);
}

// A slow disk must not leave cores idle.
TEST_F(IdempotencyLogTest, RequestsBehindOneThatWaitsForTheDiskAreStarted) {
  harness.read("a", kWriteClass, "k1");
  harness.read("b");
  EXPECT_EQ(harness.count("run b"), 1);
  harness.service.intent_recorded("a", true);
  EXPECT_EQ(harness.count("run a"), 1);
}

TEST_F(IdempotencyLogTest, RequestIsRejectedUnrunWhenItsIntentIsNotKnownToBeDurable) {
  Caller& caller = harness.read("a", kWriteClass, "k1");
  harness.service.intent_recorded("a", false);
  EXPECT_EQ(caller.single_answer(), "denied");
  EXPECT_EQ(harness.count("run a"), 0);
  // Its retry counts as a new request.
  harness.read("b", kWriteClass, "k1");
  harness.service.intent_recorded("b", true);
  EXPECT_EQ(harness.count("run b"), 1);
}

TEST_F(IdempotencyLogTest, FailedDiskRejectsNewKeyedRequestsAndNoOthers) {
  harness.read("known", kWriteClass, "k0");
  harness.service.intent_recorded("known", true);
  harness.done("known", Outcome::kOk, "made");
  log.is_accepting_writes = false;
  EXPECT_EQ(harness.read("a", kWriteClass, "k1").single_answer(), "denied");
  EXPECT_EQ(harness.read("again", kWriteClass, "k0").single_answer(), "completed made");
  harness.read("b");
  EXPECT_EQ(harness.count("run b"), 1);
  log.is_accepting_writes = true;
  harness.read("c", kWriteClass, "k1");
  EXPECT_EQ(log.intents.back(), "c");
}

TEST_F(IdempotencyLogTest, RetryOfARequestThatWaitsForTheDiskWaitsWithIt) {
  Caller& first = harness.read("a", kWriteClass, "k1");
  Caller& second = harness.read("b", kWriteClass, "k1");
  EXPECT_EQ(log.intents.size(), 1u);
  harness.service.intent_recorded("a", true);
  harness.done("a", Outcome::kOk, "made");
  EXPECT_EQ(first.single_answer(), "completed made");
  EXPECT_EQ(second.single_answer(), "completed made");
}

// An intent that becomes durable after the request has ended must not start it.
TEST_F(IdempotencyLogTest, RequestThatTimesOutWhileTheDiskIsSlowIsRejectedAndItsIntentErased) {
  Caller& caller = harness.read("a", kWriteClass, "k1", kSecond);
  for (int i = 0; i < 60; ++i) {
    harness.time += 25 * kMs;
    harness.service.timer_expired();
  }
  EXPECT_EQ(caller.single_answer(), "denied");
  EXPECT_EQ(log.outcomes, std::vector<std::string>{"never ran a"});
  harness.service.intent_recorded("a", true);
  EXPECT_EQ(harness.count("run a"), 0);
}

TEST_F(IdempotencyLogTest, RequestsOfAnEarlierIncarnationAreAnsweredOrFailedAndNeverRun) {
  ServiceHarness next(two_core_config(), 1'000, &log);
  // The key that the service derives from the idempotency key and the body.
  harness.read("a", kWriteClass, "k1");
  std::string key = harness.callers.back().request->key;
  next.service.restore("write", key, true, "made before", 5 * kSecond);
  next.engine_up();
  EXPECT_EQ(next.read("b", kWriteClass, "k1").single_answer(), "completed made before");
  EXPECT_EQ(next.count("run b"), 0);
  harness.read("c", kWriteClass, "k2");
  next.service.restore("write", harness.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("d", kWriteClass, "k2").single_answer(), "terminated");
  EXPECT_EQ(next.count("run d"), 0);
}

// Before the engine's first message all new requests are rejected; for these, a rejection would wrongly state
// that they never ran.
TEST_F(IdempotencyLogTest, RequestsOfAnEarlierIncarnationAreNotRejectedBeforeTheEngineIsUp) {
  ServiceHarness next(two_core_config(), 1'000, &log);
  harness.read("a", kWriteClass, "k1");
  next.service.restore("write", harness.callers.back().request->key, true, "made before", 5 * kSecond);
  harness.read("c", kWriteClass, "k2");
  next.service.restore("write", harness.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("b", kWriteClass, "k1").single_answer(), "completed made before");
  EXPECT_EQ(next.read("d", kWriteClass, "k2").single_answer(), "terminated");
  EXPECT_EQ(next.read("e", kWriteClass, "k3").single_answer(), "denied");
  EXPECT_EQ(next.read("f").single_answer(), "denied");
}

}  // namespace
}  // namespace myrtlecroft
