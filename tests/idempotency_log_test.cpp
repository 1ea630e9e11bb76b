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
  IdempotencyLogTest() { world.engine_up(); }
  FakeIdempotencyLog log;
  FakeWorld world{two_core_config(), 1'000, &log};
};

TEST_F(IdempotencyLogTest, KeyedRequestRunsOnlyOnceItsIntentIsDurable) {
  Caller& caller = world.read("a", kWriteClass, "k1");
  EXPECT_EQ(log.intents, std::vector<std::string>{"a"});
  EXPECT_EQ(world.count("run a"), 0);
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 1);
  world.done("a", Outcome::kOk, "made");
  EXPECT_EQ(caller.only(), "completed made");
  EXPECT_EQ(log.outcomes, std::vector<std::string>{"completed a made"});
}

TEST_F(IdempotencyLogTest, IdempotentRequestDoesNotWaitForTheDisk) {
  world.read("a");
  EXPECT_TRUE(log.intents.empty());
  EXPECT_EQ(world.count("run a"), 1);
}

// A slow disk must not leave cores idle.
TEST_F(IdempotencyLogTest, RequestsBehindOneThatWaitsForTheDiskAreStarted) {
  world.read("a", kWriteClass, "k1");
  world.read("b");
  EXPECT_EQ(world.count("run b"), 1);
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 1);
}

TEST_F(IdempotencyLogTest, RequestIsRejectedUnrunWhenItsIntentIsNotKnownToBeDurable) {
  Caller& caller = world.read("a", kWriteClass, "k1");
  world.service.intent_recorded("a", false);
  EXPECT_EQ(caller.only(), "denied");
  EXPECT_EQ(world.count("run a"), 0);
  // Its retry counts as a new request.
  world.read("b", kWriteClass, "k1");
  world.service.intent_recorded("b", true);
  EXPECT_EQ(world.count("run b"), 1);
}

TEST_F(IdempotencyLogTest, FailedDiskRejectsNewKeyedRequestsAndNoOthers) {
  world.read("known", kWriteClass, "k0");
  world.service.intent_recorded("known", true);
  world.done("known", Outcome::kOk, "made");
  log.is_accepting_writes = false;
  EXPECT_EQ(world.read("a", kWriteClass, "k1").only(), "denied");
  EXPECT_EQ(world.read("again", kWriteClass, "k0").only(), "completed made");
  world.read("b");
  EXPECT_EQ(world.count("run b"), 1);
  log.is_accepting_writes = true;
  world.read("c", kWriteClass, "k1");
  EXPECT_EQ(log.intents.back(), "c");
}

TEST_F(IdempotencyLogTest, RetryOfARequestThatWaitsForTheDiskWaitsWithIt) {
  Caller& first = world.read("a", kWriteClass, "k1");
  Caller& second = world.read("b", kWriteClass, "k1");
  EXPECT_EQ(log.intents.size(), 1u);
  world.service.intent_recorded("a", true);
  world.done("a", Outcome::kOk, "made");
  EXPECT_EQ(first.only(), "completed made");
  EXPECT_EQ(second.only(), "completed made");
}

// An intent that becomes durable after the request has ended must not start it.
TEST_F(IdempotencyLogTest, RequestThatTimesOutWhileTheDiskIsSlowIsRejectedAndItsIntentErased) {
  Caller& caller = world.read("a", kWriteClass, "k1", kSecond);
  for (int i = 0; i < 60; ++i) {
    world.time += 25 * kMs;
    world.service.timer_expired();
  }
  EXPECT_EQ(caller.only(), "denied");
  EXPECT_EQ(log.outcomes, std::vector<std::string>{"never ran a"});
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 0);
}

TEST_F(IdempotencyLogTest, RequestsOfAnEarlierIncarnationAreAnsweredOrFailedAndNeverRun) {
  FakeWorld next(two_core_config(), 1'000, &log);
  // The key that the service derives from the idempotency key and the body.
  world.read("a", kWriteClass, "k1");
  std::string key = world.callers.back().request->key;
  next.service.restore("write", key, true, "made before", 5 * kSecond);
  next.engine_up();
  EXPECT_EQ(next.read("b", kWriteClass, "k1").only(), "completed made before");
  EXPECT_EQ(next.count("run b"), 0);
  world.read("c", kWriteClass, "k2");
  next.service.restore("write", world.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("d", kWriteClass, "k2").only(), "terminated");
  EXPECT_EQ(next.count("run d"), 0);
}

// Before the engine's first message all new requests are rejected; for these, a rejection would wrongly state
// that they never ran.
TEST_F(IdempotencyLogTest, RequestsOfAnEarlierIncarnationAreNotRejectedBeforeTheEngineIsUp) {
  FakeWorld next(two_core_config(), 1'000, &log);
  world.read("a", kWriteClass, "k1");
  next.service.restore("write", world.callers.back().request->key, true, "made before", 5 * kSecond);
  world.read("c", kWriteClass, "k2");
  next.service.restore("write", world.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("b", kWriteClass, "k1").only(), "completed made before");
  EXPECT_EQ(next.read("d", kWriteClass, "k2").only(), "terminated");
  EXPECT_EQ(next.read("e", kWriteClass, "k3").only(), "denied");
  EXPECT_EQ(next.read("f").only(), "denied");
}

}  // namespace
}  // namespace myrtlecroft
