// Tests of the slow-client policy with a simulated clock.
#include "peers/slow_client_policy.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

namespace myrtlecroft::peers {
namespace {

struct FakeConnection final : MonitoredConnection {
  ConnectionProgress current_progress() const override { return progress; }
  void apply_effect(Effect effect) override {
    effects.push_back(effect);
    if (effect == Effect::kPauseReading) reading = false;
    if (effect == Effect::kResumeReading) reading = true;
    if (effect == Effect::kCancelRequest) progress.awaited_request = 0;
  }
  bool closed() const {
    return !effects.empty() &&
           (effects.back() == Effect::kCloseSlowSender || effects.back() == Effect::kCloseSlowReader);
  }
  ConnectionProgress progress;
  std::vector<Effect> effects;
  bool reading = true;
  ConnectionAccount account;
};

struct SlowClientPolicyTest : testing::Test {
  ~SlowClientPolicyTest() override {
    for (FakeConnection& connection : connections) slow_client_policy.remove_connection(connection.account);
  }
  FakeConnection& add_idle(BalancerKey key = {1, 1}) {
    FakeConnection& connection = connections.emplace_back();
    slow_client_policy.add_connection(connection.account, connection, key);
    return connection;
  }
  // Adds a connection with a partly received request of which `bytes` have arrived.
  FakeConnection& add_sender(std::uint64_t bytes, BalancerKey key = {1, 1}) {
    FakeConnection& connection = add_idle(key);
    connection.progress.in = bytes;
    connection.progress.awaited_request = 2;
    slow_client_policy.start_watching(connection.account, time);
    return connection;
  }
  // Adds a connection with `unread_bytes` bytes of answers that its client has not read.
  FakeConnection& add_reader(std::size_t unread_bytes, BalancerKey key = {1, 1}) {
    FakeConnection& connection = add_idle(key);
    connection.progress.unread_bytes = unread_bytes;
    slow_client_policy.start_watching(connection.account, time);
    return connection;
  }
  // Advances the clock in steps of 50 ms, calling `move_bytes` in each before the due evaluations.
  template <class Moves>
  void advance(Nanos duration, Moves move_bytes) {
    for (Nanos end = time + duration; time < end;) {
      time += 50 * kMs;
      move_bytes();
      slow_client_policy.evaluate_due_connections(time);
    }
  }
  void advance(Nanos duration) {
    advance(duration, [] {});
  }

  Nanos time = kSecond;
  SlowClientPolicy slow_client_policy{SlowClientOptions{},
                                      SlowClientLimits{.bytes = 1'000'000, .peers = 100}};
  std::deque<FakeConnection> connections;
};

TEST_F(SlowClientPolicyTest, AnIdleConnectionIsNeverEvaluated) {
  FakeConnection& connection = add_idle();
  EXPECT_EQ(slow_client_policy.next_evaluation_at(), 0);
  advance(100 * kSecond);
  EXPECT_EQ(connection.account.state(), State::kIdle);
  EXPECT_TRUE(connection.effects.empty());
}

TEST_F(SlowClientPolicyTest, ASenderSteadilyAboveTheMinimumRateIsServed) {
  FakeConnection& connection = add_sender(50);
  advance(4 * kSecond, [&] { connection.progress.in += 30; });  // 600 bytes a second
  EXPECT_EQ(connection.account.state(), State::kActive);
  connection.progress.awaited_request = 0;
  advance(200 * kMs);
  EXPECT_EQ(connection.account.state(), State::kIdle);
  EXPECT_TRUE(connection.effects.empty());
}

TEST_F(SlowClientPolicyTest, ASenderThatStopsMidRequestIsWarnedThenClosed) {
  FakeConnection& connection = add_sender(400);
  advance(1100 * kMs);
  EXPECT_EQ(connection.account.state(), State::kFinalWarning);
  EXPECT_TRUE(connection.effects.empty());
  advance(600 * kMs);
  EXPECT_EQ(connection.effects, std::vector{Effect::kCloseSlowSender});
  EXPECT_EQ(connection.account.state(), State::kRemoved);
  EXPECT_EQ(slow_client_policy.watched(), 0u);
}

TEST_F(SlowClientPolicyTest, AWarnedSenderThatSpeedsUpIsServed) {
  FakeConnection& connection = add_sender(10);
  advance(1200 * kMs);
  ASSERT_EQ(connection.account.state(), State::kFinalWarning);
  advance(2 * kSecond, [&] { connection.progress.in += 100; });
  EXPECT_EQ(connection.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, OneByteWithinEveryTimeLimitDoesNotPreventClosing) {
  FakeConnection& connection = add_sender(1);
  int step = 0;
  advance(3 * kSecond, [&] { connection.progress.in += ++step % 8 == 0; });
  EXPECT_TRUE(connection.closed());
}

TEST_F(SlowClientPolicyTest, ARequestSentSlowlyAmongOthersIsCancelledAlone) {
  FakeConnection& connection = add_sender(100);
  advance(5300 * kMs, [&] { connection.progress.in += 500; });  // other requests complete meanwhile
  EXPECT_EQ(connection.effects, std::vector{Effect::kCancelRequest});
  EXPECT_FALSE(connection.closed());
}

TEST_F(SlowClientPolicyTest, EachOfManyConsecutiveRequestsHasItsOwnTimeLimit) {
  FakeConnection& connection = add_sender(100);
  advance(20 * kSecond, [&] { connection.progress.in += 500, connection.progress.awaited_request += 2; });
  EXPECT_TRUE(connection.effects.empty());
}

TEST_F(SlowClientPolicyTest, AReaderThatReadsNothingIsPausedThenClosed) {
  FakeConnection& connection = add_reader(100'000);
  advance(200 * kMs);
  EXPECT_EQ(connection.account.state(), State::kPaused);
  EXPECT_FALSE(connection.reading);
  advance(1 * kSecond);
  EXPECT_EQ(connection.account.state(), State::kWriteStalled);
  advance(600 * kMs);
  EXPECT_EQ(connection.effects.back(), Effect::kCloseSlowReader);
}

TEST_F(SlowClientPolicyTest, AWriteStalledConnectionIsClosedOnlyAfterItsOpenRequests) {
  FakeConnection& connection = add_reader(100'000);
  connection.progress.open = 3;
  advance(4 * kSecond);
  EXPECT_EQ(connection.account.state(), State::kWriteStalled);
  EXPECT_FALSE(connection.closed());
  connection.progress.open = 0;
  advance(200 * kMs);
  EXPECT_TRUE(connection.closed());
}

TEST_F(SlowClientPolicyTest, ReadingResumesOnceHalfTheUnreadLimitIsFree) {
  FakeConnection& connection = add_reader(100'000);
  advance(200 * kMs);
  ASSERT_FALSE(connection.reading);
  advance(300 * kMs, [&] { connection.progress.out += 5'000, connection.progress.unread_bytes -= 5'000; });
  EXPECT_FALSE(connection.reading) << connection.progress.unread_bytes;
  advance(500 * kMs, [&] { connection.progress.out += 5'000, connection.progress.unread_bytes -= 5'000; });
  EXPECT_TRUE(connection.reading) << connection.progress.unread_bytes;
  EXPECT_EQ(connection.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, AReaderWithAOneByteWindowIsClosed) {
  FakeConnection& connection = add_reader(3'000);
  advance(2 * kSecond, [&] { connection.progress.out += 1, connection.progress.unread_bytes -= 1; });
  EXPECT_EQ(connection.effects.back(), Effect::kCloseSlowReader);
}

// Answers that complete in one turn of the loop are unread together for a moment on any connection.
TEST_F(SlowClientPolicyTest, AnswersWrittenTogetherDoNotPauseAFastReader) {
  FakeConnection& connection = add_idle();
  for (int i = 0; i < 20; ++i) {
    connection.progress.unread_bytes = 130'000;
    slow_client_policy.evaluate(connection.account, time);
    slow_client_policy.evaluate(connection.account, time + kMs);
    connection.progress.out += std::exchange(connection.progress.unread_bytes, 0);
    advance(50 * kMs);
  }
  EXPECT_TRUE(connection.effects.empty());
}

TEST_F(SlowClientPolicyTest, APausedConnectionIsNotTreatedAsASlowSender) {
  FakeConnection& connection = add_reader(100'000);
  connection.progress.awaited_request = 2;
  advance(900 * kMs, [&] { connection.progress.out += 3'000, connection.progress.unread_bytes -= 3'000; });
  EXPECT_FALSE(connection.closed());
  advance(1 * kSecond, [&] {
    connection.progress.out += 1'000,
        connection.progress.unread_bytes =
            connection.progress.unread_bytes > 1'000 ? connection.progress.unread_bytes - 1'000 : 0;
  });
  ASSERT_TRUE(connection.reading);
  // The grace period of the request starts when reading resumes.
  advance(500 * kMs, [&] { connection.progress.out += 1'000; });
  EXPECT_EQ(connection.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, APauseOfTheServerProcessMakesNoClientSlow) {
  for (int i = 0; i < 60; ++i) i % 2 ? add_sender(200) : add_reader(2'000);
  advance(500 * kMs);
  time += 20 * kSecond;  // the process is stopped and continued
  slow_client_policy.evaluate_due_connections(time);
  EXPECT_EQ(slow_client_policy.count(State::kActive), 60u);
  advance(300 * kMs, [&] {
    for (FakeConnection& connection : connections)
      connection.progress.in += 100, connection.progress.out += 100;
  });
  EXPECT_EQ(slow_client_policy.count(State::kActive), 60u);
  for (FakeConnection& connection : connections) EXPECT_TRUE(connection.effects.empty());
}

// Input may be handled before the late evaluation, when the loop serves sockets before timers.
TEST_F(SlowClientPolicyTest, APauseIsDetectedWhenInputPrecedesTheLateEvaluation) {
  FakeConnection& connection = add_sender(600);
  advance(500 * kMs);
  time += 20 * kSecond;
  FakeConnection& next = add_sender(100);
  slow_client_policy.evaluate_due_connections(time);
  EXPECT_EQ(connection.account.state(), State::kActive);
  EXPECT_EQ(next.account.state(), State::kActive);
  advance(2 * kSecond);
  EXPECT_TRUE(connection.closed());
}

TEST_F(SlowClientPolicyTest, TheMinimumRateRisesAsConnectionsRunOut) {
  FakeConnection& connection = add_sender(500);
  EXPECT_EQ(slow_client_policy.strictness(), 1);
  advance(2 * kSecond, [&] { connection.progress.in += 40; });
  EXPECT_EQ(connection.account.state(), State::kActive);
  for (int i = 0; i < 99; ++i) add_sender(100);
  EXPECT_EQ(slow_client_policy.strictness(), 4);
  advance(400 * kMs, [&] { connection.progress.in += 40; });
  EXPECT_TRUE(connection.closed());
}

TEST_F(SlowClientPolicyTest, TheCostliestConnectionHasMostMemoryForLongestWithoutProgress) {
  FakeConnection& large_new = add_sender(100);
  FakeConnection& small_old = add_sender(100);
  FakeConnection& large_old = add_sender(100);
  slow_client_policy.set_held_bytes(small_old.account, 1'000);
  slow_client_policy.set_held_bytes(large_old.account, 50'000);
  advance(600 * kMs, [&] { large_new.progress.in += 100; });
  slow_client_policy.set_held_bytes(large_new.account, 60'000);
  EXPECT_EQ(slow_client_policy.costliest_connection(small_old.account, time), &large_old.account);
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(large_old.account));
  slow_client_policy.set_held_bytes(large_new.account, 990'000);
  EXPECT_TRUE(slow_client_policy.exceeds_memory_limit(small_old.account));
}

TEST_F(SlowClientPolicyTest, ABalancersMemoryShareAppliesOnlyAmongSeveralBalancers) {
  FakeConnection& slow = add_sender(100, {1, 1});
  slow_client_policy.set_held_bytes(slow.account, 800'000);
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(slow.account));
  FakeConnection& other = add_sender(100, {1, 2});
  slow_client_policy.set_held_bytes(other.account, 100'000);
  EXPECT_TRUE(slow_client_policy.exceeds_memory_limit(slow.account));
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(other.account));
  advance(300 * kMs);
  EXPECT_EQ(slow_client_policy.costliest_connection(slow.account, time), &slow.account);
  // A balancer beyond its share of the memory gets shorter time limits.
  EXPECT_EQ(slow.account.state(), State::kFinalWarning);
  EXPECT_EQ(other.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, SettingTheBalancerMovesTheMemoryOfTheConnection) {
  FakeConnection& connection = add_sender(100, {1, -1});
  add_idle({1, 7});
  slow_client_policy.set_held_bytes(connection.account, 800'000);
  ASSERT_TRUE(slow_client_policy.exceeds_memory_limit(connection.account));
  slow_client_policy.set_balancer(connection.account, {1, 7});
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(connection.account));  // the only balancer left
}

TEST_F(SlowClientPolicyTest, TheSlowestConnectionIsOfTheLargestBalancerWithoutOpenRequests) {
  add_sender(100, {1, 1});
  FakeConnection& first = add_sender(100, {1, 2});
  FakeConnection& second = add_sender(100, {1, 2});
  EXPECT_EQ(slow_client_policy.slowest_connection(), nullptr);
  advance(1200 * kMs);
  second.progress.open = 1;  // has an open request
  EXPECT_EQ(slow_client_policy.slowest_connection(), &first.account);
}

// All connections of one balancer are slow; those of another balancer must not be affected.
TEST_F(SlowClientPolicyTest, AllConnectionsOfASlowBalancerAreClosedAndThoseOfAFastOneAreNot) {
  std::vector<FakeConnection*> fast_readers;
  for (int i = 0; i < 40; ++i) add_sender(100, {1, 1});
  for (int i = 0; i < 10; ++i) fast_readers.push_back(&add_reader(8'000, {2, 2}));
  advance(3 * kSecond, [&] {
    for (FakeConnection* connection : fast_readers) connection->progress.out += 8'000;
  });
  EXPECT_EQ(slow_client_policy.count(State::kRemoved), 40u);
  for (FakeConnection* connection : fast_readers) EXPECT_TRUE(connection->effects.empty());
}

TEST_F(SlowClientPolicyTest, RemovedConnectionsLeaveNoState) {
  for (int i = 0; i < 10; ++i) {
    FakeConnection& connection = add_sender(100, {1, i});
    slow_client_policy.set_held_bytes(connection.account, 1'000);
    slow_client_policy.remove_connection(connection.account);
  }
  EXPECT_EQ(slow_client_policy.bytes(), 0u);
  EXPECT_EQ(slow_client_policy.watched(), 0u);
  EXPECT_EQ(slow_client_policy.next_evaluation_at(), 0);
  FakeConnection& warned = add_sender(100);
  advance(1200 * kMs);
  ASSERT_EQ(slow_client_policy.slowest_connection(), &warned.account);
  slow_client_policy.remove_connection(warned.account);
  EXPECT_EQ(slow_client_policy.slowest_connection(), nullptr);
}

}  // namespace
}  // namespace myrtlecroft::peers
