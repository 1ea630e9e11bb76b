// Each command to the engine, at each break of the link.
#include <gtest/gtest.h>

#include <string>

#include "engine_model.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

constexpr int kRegularRuns = 30;  // before the break, each with one call

ServiceConfig config_with_each_idempotency() {
  ServiceConfig config = two_core_config();
  config.dependency_share = 20;
  RequestClass mutating = config.request_classes[kRequiredCallClass];
  mutating.name = "mutating";
  mutating.idempotency = Idempotency::kNone;
  config.request_classes.push_back(mutating);
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
    EngineModel engine(config_with_each_idempotency());
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

}  // namespace
}  // namespace myrtlecroft
