// Each command to the engine, at each break of the link, against a model of the engine that follows the
// protocol: it runs again what it is told to run after its run has ended, and passes a reply to whichever
// call waits.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

constexpr int kRegularRuns = 30;  // of each class before the break, each with one call

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
  int after_command = 0;  // of the watched request, counted from 1
  bool command_is_lost = false;
  bool notice_in_backlog = false;  // otherwise the notice crosses the commands that follow the backlog
};

// Runs requests as the engine does. Every run makes `calls_per_run` calls, to each of which the database
// replies.
class EngineModel : public ServiceHarness {
 public:
  EngineModel() : ServiceHarness(config_with_each_idempotency()) { engine_up(); }

  void run(std::string_view id, std::string_view request_class, std::string_view body) override {
    ServiceHarness::run(id, request_class, body);
    if (!arrives(id)) return;
    EXPECT_EQ(body, "body of " + std::string(id));
    if (runs_.emplace(id, Run{.calls_left = calls_per_run}).second) ++starts[std::string(id)];
  }
  void deliver_reply(std::string_view id, std::string_view reply) override {
    ServiceHarness::deliver_reply(id, reply);
    auto run = runs_.find(std::string(id));
    if (!arrives(id) || run == runs_.end() || run->second.awaited_call.empty()) return;
    EXPECT_EQ(reply, "reply to " + run->second.awaited_call);
    run->second.awaited_call.clear();
  }
  void skip(std::string_view id, std::uint64_t notice) override {
    ServiceHarness::skip(id, notice);
    auto run = runs_.find(std::string(id));
    if (arrives(id) && run != runs_.end() && run->second.call_notice == notice)
      run->second.awaited_call.clear();
  }
  void call(const std::string& request_id, std::string_view body, Nanos max_duration) override {
    ServiceHarness::call(request_id, body, max_duration);
    replies_.push_back({request_id, "reply to " + std::string(body)});
  }

  // Lets a run go on to its next call or its end, unless it waits. The notice is delivered later.
  void advance_run(const std::string& id) {
    auto found = runs_.find(id);
    if (found == runs_.end() || !found->second.awaited_call.empty()) return;
    Run& run = found->second;
    using Kind = service::Notice::Kind;
    if (run.calls_left == 0) {
      runs_.erase(found);
      undelivered_.push_back({Kind::kDone, ++notice_count, id, Outcome::kOk, "result of " + id});
      return;
    }
    run.awaited_call = "call " + std::to_string(run.calls_left--);
    run.call_notice = ++notice_count;
    undelivered_.push_back({Kind::kNeed, run.call_notice, id, Outcome::kOk, run.awaited_call});
  }
  void deliver_notices() {
    for (const service::Notice& notice : std::exchange(undelivered_, {})) service.engine().notice(notice);
    for (const Reply& reply : std::exchange(replies_, {}))
      service.call_completed(reply.request_id, CallResult::kSucceeded, reply.body);
  }
  // Breaks the link once the watched command was sent, and connects again.
  void break_link_if_due() {
    if (!std::exchange(break_is_due_, false)) return;
    service.engine().link_lost();
    service.engine().link_established();
    service.engine().hello(false, 0);
    advance_run(watched);
    if (at.notice_in_backlog) deliver_notices();
    answer_gauges();  // ends the backlog: pending commands are resolved
  }

  int calls_per_run = 1;
  std::string watched;
  Break at;
  std::map<std::string, int> starts;

 private:
  struct Run {
    int calls_left = 0;
    std::string awaited_call{};  // its body; empty while the run waits for none
    std::uint64_t call_notice = 0;
  };
  struct Reply {
    std::string request_id;
    std::string body;
  };

  // Whether a command reaches the engine.
  bool arrives(std::string_view id) {
    if (id != watched || ++watched_commands_ != at.after_command) return true;
    break_is_due_ = true;
    return !at.command_is_lost;
  }

  std::map<std::string, Run, std::less<>> runs_;
  std::vector<service::Notice> undelivered_;
  std::vector<Reply> replies_;
  int watched_commands_ = 0;
  bool break_is_due_ = false;
};

// Runs of the class that make one call each, from which no rule may be derived.
void run_regularly(EngineModel& engine, RequestClassIndex request_class) {
  for (int i = 0; i < kRegularRuns; ++i) {
    std::string id = "before" + std::to_string(i);
    Caller& caller = engine.read(id, request_class, id);
    while (caller.answers.empty()) {
      engine.advance_run(id);
      engine.deliver_notices();
      engine.advance_time(20 * kMs);
      engine.answer_gauges();
    }
  }
}

class EngineCommandsTest : public testing::TestWithParam<int> {};

// A command whose arrival was unknown was sent again, because earlier runs of its class suggested that this
// was harmless. A run that differed from them ran twice, or was given the reply to another call.
TEST_P(EngineCommandsTest, NothingRunsTwiceAndEachCallGetsItsOwnReplyWhereverTheLinkBreaks) {
  auto request_class = static_cast<RequestClassIndex>(GetParam());
  for (int calls = 0; calls <= 2; ++calls) {
    for (int after_command = 1; after_command <= 1 + calls; ++after_command) {
      for (int variant = 0; variant < 4; ++variant) {
        EngineModel engine;
        run_regularly(engine, request_class);
        engine.calls_per_run = calls;
        engine.watched = "watched";
        engine.at = {after_command, (variant & 1) != 0, (variant & 2) != 0};
        SCOPED_TRACE(testing::Message()
                     << "calls " << calls << ", break after command " << after_command << ", command lost "
                     << engine.at.command_is_lost << ", notice in backlog " << engine.at.notice_in_backlog);
        Caller& caller = engine.read("watched", request_class, "watched");
        for (int step = 0; step < 10; ++step) {
          engine.break_link_if_due();
          engine.deliver_notices();
          engine.break_link_if_due();
          engine.advance_run("watched");
        }
        engine.advance_time(2 * kSecond);
        EXPECT_EQ(caller.answers.size(), 1u);
        const RequestClass& config = engine.service.config().request_classes[std::size_t(GetParam())];
        if (config.idempotency != Idempotency::kIdempotent) EXPECT_LE(engine.starts["watched"], 1);
        if (!engine.at.command_is_lost) EXPECT_EQ(caller.single_answer(), "completed result of watched");
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(EachClass, EngineCommandsTest, testing::Range(0, 5));

}  // namespace
}  // namespace myrtlecroft
