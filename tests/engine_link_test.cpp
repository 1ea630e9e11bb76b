// What happens to runs and dependency replies when the link to the engine breaks.
#include <gtest/gtest.h>

#include "fakes.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

TEST(EngineLinkTest, UnsentCommandsAreSentOnceTheBacklogIsRead) {
  ServiceHarness harness;
  harness.engine_up();
  harness.service.engine().link_lost();
  harness.read("a");
  EXPECT_EQ(harness.count("run a"), 0);
  harness.service.engine().link_established();
  harness.service.engine().hello(false, 0);
  EXPECT_EQ(harness.count("run a"), 0);
  harness.answer_gauges();
  EXPECT_EQ(harness.count("run a"), 1);
}

// Between the break of a link and its report to the session, commands were written to the broken link. They
// counted as perhaps arrived, so that requests that must not run twice waited for their deadline.
TEST(EngineLinkTest, CommandsIssuedOnceTheLinkIsKnownToBeBrokenAreSentOnTheNext) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& awaiting = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.link_is_open = false;
  harness.service.call_completed(awaiting.id, CallResult::kSucceeded, "rows");
  harness.read("b", kWriteClass, "other");
  EXPECT_EQ(harness.count("feed a rows"), 0);
  EXPECT_EQ(harness.count("run b"), 0);
  harness.service.engine().link_lost();
  harness.link_is_open = true;
  harness.engine_up();
  EXPECT_EQ(harness.count("feed a rows"), 1);
  EXPECT_EQ(harness.count("run b"), 1);
}

TEST(EngineLinkTest, ConfirmedRunIsNotSentAgain) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kWriteClass, "key");
  harness.advance_time(50 * kMs);
  harness.answer_gauges();
  harness.reconnect_engine();
  EXPECT_EQ(harness.count("run a"), 1);
  EXPECT_EQ(harness.did.back(), "attach 0");
  harness.done("a");
  EXPECT_EQ(caller.single_answer(), "completed result");
}

TEST(EngineLinkTest, RunInDoubtIsSentAgainOnlyIfIdempotent) {
  ServiceHarness harness;
  harness.engine_up();
  harness.read("read");
  harness.read("write", kWriteClass, "key");
  harness.reconnect_engine();
  EXPECT_EQ(harness.count("run read"), 2);
  EXPECT_EQ(harness.count("run write"), 1);
}

TEST(EngineLinkTest, RunInDoubtThatNeverEndsIsAnsweredInTimeAndFreesItsSlot) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& first = harness.read("a", kWriteClass, "key", 500 * kMs);
  Caller& second = harness.read("b", kWriteClass, "other", 500 * kMs);
  harness.reconnect_engine();
  harness.advance_time(500 * kMs);
  EXPECT_EQ(first.single_answer(), "terminated");
  EXPECT_EQ(second.single_answer(), "terminated");
  EXPECT_EQ(harness.read("c", kWriteClass, "key").single_answer(), "terminated");
  harness.advance_time(4 * kSecond);
  harness.read("d");
  EXPECT_EQ(harness.count("run d"), 1);
}

TEST(EngineLinkTest, RunInDoubtFreesItsSlotWhenItsCallerDisconnects) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& before_break = harness.read("a", kWriteClass, "key");
  Caller& after_break = harness.read("b", kWriteClass, "other");
  harness.service.caller_disconnected(before_break.id, before_break);
  harness.reconnect_engine();
  harness.service.caller_disconnected(after_break.id, after_break);
  harness.read("c");
  harness.read("d");
  EXPECT_EQ(harness.count("run c"), 1);
  EXPECT_EQ(harness.count("run d"), 1);
  EXPECT_EQ(harness.read("e", kWriteClass, "key").single_answer(), "terminated");
}

TEST(EngineLinkTest, NoticeInBacklogCompletesItsRunOnce) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kWriteClass, "key");
  harness.service.engine().link_lost();
  harness.service.engine().link_established();
  harness.service.engine().hello(false, 0);
  harness.done("a", Outcome::kOk, "first");
  --harness.notice_count;
  harness.done("a", Outcome::kOk, "again");
  harness.answer_gauges();
  EXPECT_EQ(caller.single_answer(), "completed first");
  EXPECT_EQ(harness.count("run a"), 1);
}

TEST(EngineLinkTest, ReplyInDoubtIsNotSentAgain) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.service.call_completed(caller.id, CallResult::kSucceeded, "rows");
  EXPECT_EQ(harness.count("feed a rows"), 1);
  harness.reconnect_engine();
  EXPECT_EQ(harness.count("feed a rows"), 1);
  harness.advance_time(2 * kSecond);
  EXPECT_EQ(caller.single_answer(), "terminated");
}

// A run made no call and ended while its repeated RUN was on the way, and the engine ran it a second time.
// Each of many earlier runs had made a call, from which the server had concluded that this one could not have
// ended.
TEST(EngineLinkTest, RunAndReplyInDoubtAreNotSentAgainHoweverRegularEarlierRunsWere) {
  ServiceHarness harness;
  harness.engine_up();
  for (int i = 0; i < 30; ++i) {
    std::string id = "before" + std::to_string(i);
    Caller& caller = harness.read(id, kRequiredCallClass, id);
    harness.request_call(id);
    harness.advance_time(100 * kMs);
    harness.service.call_completed(caller.id, CallResult::kSucceeded, "rows");
    harness.done(id);
  }
  harness.advance_time(kSecond);
  Caller& awaiting = harness.read("a", kRequiredCallClass, "key");
  harness.request_call("a");
  harness.service.call_completed(awaiting.id, CallResult::kSucceeded, "rows");
  Caller& running = harness.read("b", kRequiredCallClass, "other");
  harness.reconnect_engine();
  EXPECT_EQ(harness.count("feed a rows"), 1);
  EXPECT_EQ(harness.count("run b"), 1);
  harness.done("b");  // it crossed the answer that ended the backlog
  EXPECT_EQ(running.single_answer(), "completed result");
  harness.advance_time(2 * kSecond);
  EXPECT_EQ(awaiting.single_answer(), "terminated");
}

TEST(EngineLinkTest, ReplyInDoubtBecomesASkipIfTheCallIsOptional) {
  ServiceHarness harness;
  harness.engine_up();
  Caller& caller = harness.read("a", kOptionalCallClass);
  harness.request_call("a");
  harness.service.call_completed(caller.id, CallResult::kSucceeded, "rows");
  harness.reconnect_engine();
  EXPECT_EQ(harness.count("feed a rows"), 1);
  EXPECT_EQ(harness.count("skip a"), 1);
}

TEST(EngineLinkTest, RunAnsweredBeforeItWasSentNeverRuns) {
  ServiceHarness harness;
  harness.engine_up();
  harness.service.engine().link_lost();
  Caller& caller = harness.read("a", kWriteClass, "key", 300 * kMs);
  harness.advance_time(300 * kMs);
  EXPECT_EQ(caller.single_answer(), "terminated");
  harness.engine_up();
  EXPECT_EQ(harness.count("run a"), 0);
  harness.read("b", kWriteClass, "key");
  EXPECT_EQ(harness.count("run b"), 1);
}

}  // namespace
}  // namespace myrtlecroft
