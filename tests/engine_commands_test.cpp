// Each command to the engine, at each break of the link.
#include <gtest/gtest.h>

#include <string>

#include "engine_model.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

constexpr int kRegularRuns = 30;  // before the break, each with one call

ServiceConfig config_with_calls() {
  ServiceConfig config = config_with_each_idempotency();
  for (RequestClass& request_class : config.request_classes) request_class.makes_calls = true;
  return config;
}

// Where the link breaks, and when the run then goes on.
struct Break {
  int after_command = 0;  // of the request, counted from 1
  bool command_is_lost = false;
  bool notice_in_backlog = false;  // otherwise the notice crosses the commands that follow the backlog
};

// Lets a request go on by one step: all messages arrive, its call succeeds, its run reaches the next notice.
void advance(EngineModel& engine, const std::string& id) {
  engine.exchange_all();
  if (engine.calls_in_flight.contains(id)) return engine.complete_call(id, CallResult::kSucceeded);
  engine.advance_run(id);
}

// Breaks the link while the latest command is on its way, and connects again.
void break_link(EngineModel& engine, const std::string& id, const Break& at) {
  engine.break_link(at.command_is_lost);
  if (at.notice_in_backlog) engine.advance_run(id);
  engine.connect();
  engine.receive_command();  // ATTACH
  engine.receive_line();     // HELLO
  if (at.notice_in_backlog) engine.receive_line();
  while (engine.receive_command()) {
  }
  engine.advance_run(id);  // its notice follows the answer that ends the backlog
  engine.exchange_all();
}

class EngineCommandsTest : public testing::TestWithParam<int> {
 protected:
  void play(int calls, const Break& at) {
    auto index = static_cast<RequestClassIndex>(GetParam());
    EngineModel engine(config_with_calls());
    engine.connect();
    engine.exchange_all();
    for (int i = 0; i < kRegularRuns; ++i) {
      std::string id = "before" + std::to_string(i);
      Caller& caller = engine.read(id, index, id);
      for (int step = 0; step < 100 && caller.answers.empty(); ++step) {
        advance(engine, id);
        engine.advance_time(20 * kMs);
      }
      ASSERT_EQ(caller.single_answer(), "completed result of " + id);
    }
    engine.calls_per_run = calls;
    Caller& caller = engine.read("watched", index, "watched");
    for (int command = 1; command < at.after_command; ++command) {
      engine.exchange_all();
      engine.advance_run("watched");
      engine.exchange_all();
      ASSERT_TRUE(engine.calls_in_flight.contains("watched"));
      engine.complete_call("watched", CallResult::kSucceeded);
    }
    break_link(engine, "watched", at);
    for (int step = 0; step < 10; ++step) advance(engine, "watched");
    engine.advance_time(2 * kSecond);
    EXPECT_EQ(caller.answers.size(), 1u);
    const RequestClass& request_class = engine.service.config().request_classes[std::size_t(GetParam())];
    if (request_class.idempotency != Idempotency::kIdempotent) EXPECT_LE(engine.starts["watched"], 1);
    if (!at.command_is_lost) EXPECT_EQ(caller.single_answer(), "completed result of watched");
  }
};

// A command whose arrival was unknown was sent again, because earlier runs of its class suggested that this
// was harmless. A run that differed from them ran twice, or was given the reply to another call.
TEST_P(EngineCommandsTest, NothingRunsTwiceAndEachCallGetsItsOwnReplyWhereverTheLinkBreaks) {
  for (int calls = 0; calls <= 2; ++calls) {
    for (int after_command = 1; after_command <= 1 + calls; ++after_command) {
      for (bool is_lost : {false, true}) {
        for (bool in_backlog : {false, true}) {
          SCOPED_TRACE(testing::Message() << "calls " << calls << ", break after command " << after_command
                                          << ", lost " << is_lost << ", notice in backlog " << in_backlog);
          play(calls, {after_command, is_lost, in_backlog});
        }
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(EachClass, EngineCommandsTest, testing::Range(0, 5));

// The end of a run that began before notices were lost for good. What the server holds for the run must not
// stay for ever: its place in the concurrency limit was never free again.
class LostNoticesTest : public testing::TestWithParam<int> {
 protected:
  LostNoticesTest() : engine(config_with_calls()) {
    engine.connect();
    engine.exchange_all();
  }
  void start(int calls) {
    engine.calls_per_run = calls;
    caller = &engine.read("watched", static_cast<RequestClassIndex>(GetParam()), "watched");
    engine.exchange_all();
    engine.advance_time(100 * kMs);
    engine.exchange_all();  // the gauges: the run command is known to have arrived
    ASSERT_EQ(running(), 1);
  }
  int running() const { return engine.service.stats()->running; }
  // The notices while the link is down are more than the engine keeps.
  void lose_notices_while_disconnected() {
    engine.kept_notices = 2;
    engine.break_link(false);
    engine.advance_run("watched");
    for (int i = 0; i < 3; ++i) engine.remark();
  }
  void reconnect() {
    engine.connect();
    engine.exchange_all();
  }

  EngineModel engine;
  Caller* caller = nullptr;
};

TEST_P(LostNoticesTest, RunIsEndedOnceItsCallerIsAnswered) {
  start(0);
  lose_notices_while_disconnected();
  reconnect();
  EXPECT_EQ(running(), 1);
  engine.advance_time(3 * kSecond);
  EXPECT_EQ(caller->single_answer(), "terminated");
  EXPECT_EQ(running(), 0);
  EXPECT_EQ(engine.starts["watched"], 1);
}

TEST_P(LostNoticesTest, RunWhoseCallerWasAnsweredBeforeIsEndedAfterTheBacklog) {
  start(0);
  lose_notices_while_disconnected();
  engine.advance_time(3 * kSecond);
  EXPECT_EQ(caller->single_answer(), "terminated");
  reconnect();
  EXPECT_EQ(running(), 0);
}

TEST_P(LostNoticesTest, RunIsEndedIfItsLineIsLostOnALink) {
  start(0);
  engine.advance_run("watched");
  engine.lose_notice();
  engine.advance_time(3 * kSecond);
  EXPECT_EQ(running(), 1);
  engine.remark();
  engine.exchange_all();
  EXPECT_EQ(caller->single_answer(), "terminated");
  EXPECT_EQ(running(), 0);
}

TEST_P(LostNoticesTest, RunIsCompletedIfItsNoticeIsNotAmongThoseLost) {
  start(0);
  engine.remark();
  engine.lose_notice();
  engine.advance_run("watched");
  engine.exchange_all();
  EXPECT_EQ(caller->single_answer(), "completed result of watched");
  EXPECT_EQ(running(), 0);
}

// A call that it asks for afterwards shows that the run goes on.
TEST_P(LostNoticesTest, RunThatAsksForACallAfterwardsKeepsItsPlaceUntilItsEnd) {
  start(1);
  engine.remark();
  engine.lose_notice();
  engine.advance_run("watched");
  engine.exchange_all();
  engine.complete_call("watched", CallResult::kSucceeded);
  engine.exchange_all();
  engine.advance_time(3 * kSecond);
  EXPECT_EQ(caller->single_answer(), "terminated");
  EXPECT_EQ(running(), 1);
  engine.advance_run("watched");
  engine.exchange_all();
  EXPECT_EQ(running(), 0);
}

INSTANTIATE_TEST_SUITE_P(EachClass, LostNoticesTest, testing::Range(0, 5));

}  // namespace
}  // namespace myrtlecroft
