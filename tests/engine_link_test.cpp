// What happens to runs and dependency replies when the link to the engine breaks.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

TEST(EngineLinkTest, UnsentCommandsAreSentOnceTheBacklogIsRead) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().link_lost();
  world.read("a");
  EXPECT_EQ(world.count("run a"), 0);
  world.service.engine().link_established();
  world.service.engine().hello(false, 0);
  EXPECT_EQ(world.count("run a"), 0);
  world.answer_gauges();
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(EngineLinkTest, ConfirmedRunIsNotSentAgain) {
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

TEST(EngineLinkTest, RunInDoubtIsSentAgainOnlyIfIdempotent) {
  FakeWorld world;
  world.engine_up();
  world.read("read");
  world.read("write", kWriteClass, "key");
  world.relink();
  EXPECT_EQ(world.count("run read"), 2);
  EXPECT_EQ(world.count("run write"), 1);
}

TEST(EngineLinkTest, RunInDoubtThatNeverEndsIsAnsweredInTimeAndFreesItsSlot) {
  FakeWorld world;
  world.engine_up();
  Caller& first = world.read("a", kWriteClass, "key", 500 * kMs);
  Caller& second = world.read("b", kWriteClass, "other", 500 * kMs);
  world.relink();
  world.pass(500 * kMs);
  EXPECT_EQ(first.only(), "terminated");
  EXPECT_EQ(second.only(), "terminated");
  EXPECT_EQ(world.read("c", kWriteClass, "key").only(), "terminated");
  world.pass(4 * kSecond);
  world.read("d");
  EXPECT_EQ(world.count("run d"), 1);
}

TEST(EngineLinkTest, RunInDoubtFreesItsSlotWhenItsCallerDisconnects) {
  FakeWorld world;
  world.engine_up();
  Caller& before_break = world.read("a", kWriteClass, "key");
  Caller& after_break = world.read("b", kWriteClass, "other");
  world.service.caller_disconnected(*before_break.request);
  world.relink();
  world.service.caller_disconnected(*after_break.request);
  world.read("c");
  world.read("d");
  EXPECT_EQ(world.count("run c"), 1);
  EXPECT_EQ(world.count("run d"), 1);
  EXPECT_EQ(world.read("e", kWriteClass, "key").only(), "terminated");
}

TEST(EngineLinkTest, NoticeInBacklogCompletesItsRunOnce) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kWriteClass, "key");
  world.service.engine().link_lost();
  world.service.engine().link_established();
  world.service.engine().hello(false, 0);
  world.done("a", Outcome::kOk, "first");
  --world.notices;
  world.done("a", Outcome::kOk, "again");
  world.answer_gauges();
  EXPECT_EQ(caller.only(), "completed first");
  EXPECT_EQ(world.count("run a"), 1);
}

TEST(EngineLinkTest, ReplyInDoubtIsNotSentAgain) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kSucceeded, "rows");
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 1);
  world.pass(2 * kSecond);
  EXPECT_EQ(caller.only(), "terminated");
}

// Without this rule, runs and replies that must not be sent twice wait for their deadline after each break of
// the link.
TEST(EngineLinkTest, RunAndReplyInDoubtAreSentAgainIfRunsMakeExactlyOneCall) {
  FakeWorld world;
  world.engine_up();
  for (int i = 0; i < 30; ++i) {
    std::string id = "before" + std::to_string(i);
    Caller& caller = world.read(id, kCallerClass, id);
    world.need(id);
    world.pass(100 * kMs);
    world.service.call_completed(*caller.request, CallResult::kSucceeded, "rows");
    world.done(id);
  }
  world.pass(kSecond);
  Caller& last_caller = world.read("a", kCallerClass, "key");
  world.need("a");
  world.service.call_completed(*last_caller.request, CallResult::kSucceeded, "rows");
  world.read("b", kCallerClass, "other");
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 2);
  EXPECT_EQ(world.count("run b"), 2);
}

TEST(EngineLinkTest, ReplyInDoubtBecomesASkipIfTheCallIsOptional) {
  FakeWorld world;
  world.engine_up();
  Caller& caller = world.read("a", kSkipperClass);
  world.need("a");
  world.service.call_completed(*caller.request, CallResult::kSucceeded, "rows");
  world.relink();
  EXPECT_EQ(world.count("feed a rows"), 1);
  EXPECT_EQ(world.count("skip a"), 1);
}

TEST(EngineLinkTest, RunAnsweredBeforeItWasSentNeverRuns) {
  FakeWorld world;
  world.engine_up();
  world.service.engine().link_lost();
  Caller& caller = world.read("a", kWriteClass, "key", 300 * kMs);
  world.pass(300 * kMs);
  EXPECT_EQ(caller.only(), "terminated");
  world.engine_up();
  EXPECT_EQ(world.count("run a"), 0);
  world.read("b", kWriteClass, "key");
  EXPECT_EQ(world.count("run b"), 1);
}

}  // namespace
}  // namespace myrtlecroft
