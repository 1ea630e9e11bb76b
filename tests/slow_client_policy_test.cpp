// Who is waited for and who is not, with a clock that the story turns.
#include "peers/slow_client_policy.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

namespace myrtlecroft::peers {
namespace {

struct Peer final : MonitoredConnection {
  ConnectionProgress current_progress() const override { return now; }
  void apply_effect(Effect effect) override {
    effects.push_back(effect);
    if (effect == Effect::kPauseReading) reading = false;
    if (effect == Effect::kResumeReading) reading = true;
    if (effect == Effect::kCancelRequest) now.awaited = 0;
  }
  bool dropped() const {
    return !effects.empty() &&
           (effects.back() == Effect::kCloseSlowSender || effects.back() == Effect::kCloseSlowReader);
  }
  ConnectionProgress now;
  std::vector<Effect> effects;
  bool reading = true;
  ConnectionAccount account;
};

struct SlowClientPolicyTest : testing::Test {
  ~SlowClientPolicyTest() override {
    for (Peer& peer : peers) slow_client_policy.remove_connection(peer.account);
  }
  Peer& comes(BalancerKey key = {1, 1}) {
    Peer& peer = peers.emplace_back();
    slow_client_policy.add_connection(peer.account, peer, key);
    return peer;
  }
  // A request that has begun, with so many bytes of it there.
  Peer& writes(std::uint64_t bytes, BalancerKey key = {1, 1}) {
    Peer& peer = comes(key);
    peer.now.in = bytes;
    peer.now.awaited = 2;
    slow_client_policy.start_watching(peer.account, time);
    return peer;
  }
  // Answers that wait to be taken.
  Peer& reads(std::size_t unread, BalancerKey key = {1, 1}) {
    Peer& peer = comes(key);
    peer.now.unread = unread;
    slow_client_policy.start_watching(peer.account, time);
    return peer;
  }
  // Lets time go by in steps in which `moves` may move bytes.
  template <class Moves>
  void pass(Nanos how_long, Moves moves) {
    for (Nanos end = time + how_long; time < end;) {
      time += 50 * kMs;
      moves();
      slow_client_policy.evaluate_due_connections(time);
    }
  }
  void pass(Nanos how_long) {
    pass(how_long, [] {});
  }

  Nanos time = kSecond;
  SlowClientPolicy slow_client_policy{SlowClientOptions{},
                                      SlowClientLimits{.bytes = 1'000'000, .peers = 100}};
  std::deque<Peer> peers;
};

TEST_F(SlowClientPolicyTest, AQuietPeerIsNeverLookedAt) {
  Peer& peer = comes();
  EXPECT_EQ(slow_client_policy.next_evaluation_at(), 0);
  pass(100 * kSecond);
  EXPECT_EQ(peer.account.state(), State::kIdle);
  EXPECT_TRUE(peer.effects.empty());
}

TEST_F(SlowClientPolicyTest, OneThatWritesSlowlyButSteadilyAboveTheRateIsServed) {
  Peer& peer = writes(50);
  pass(4 * kSecond, [&] { peer.now.in += 30; });  // 600 bytes a second
  EXPECT_EQ(peer.account.state(), State::kActive);
  peer.now.awaited = 0;
  pass(200 * kMs);
  EXPECT_EQ(peer.account.state(), State::kIdle);
  EXPECT_TRUE(peer.effects.empty());
}

TEST_F(SlowClientPolicyTest, OneThatStopsAByteBeforeTheEndIsHurriedThenDropped) {
  Peer& peer = writes(400);
  pass(1100 * kMs);
  EXPECT_EQ(peer.account.state(), State::kFinalWarning);
  EXPECT_TRUE(peer.effects.empty());
  pass(600 * kMs);
  EXPECT_EQ(peer.effects, std::vector{Effect::kCloseSlowSender});
  EXPECT_EQ(peer.account.state(), State::kRemoved);
  EXPECT_EQ(slow_client_policy.watched(), 0u);
}

TEST_F(SlowClientPolicyTest, AHurriedOneThatDoesBetterIsServed) {
  Peer& peer = writes(10);
  pass(1200 * kMs);
  ASSERT_EQ(peer.account.state(), State::kFinalWarning);
  pass(2 * kSecond, [&] { peer.now.in += 100; });
  EXPECT_EQ(peer.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, AByteJustInsideEveryTimeLimitDoesNotHelp) {
  Peer& peer = writes(1);
  int step = 0;
  pass(3 * kSecond, [&] { peer.now.in += ++step % 8 == 0; });
  EXPECT_TRUE(peer.dropped());
}

TEST_F(SlowClientPolicyTest, OneRequestDribbledAmongOthersIsCancelledAlone) {
  Peer& peer = writes(100);
  pass(5300 * kMs, [&] { peer.now.in += 500; });  // others come whole beside it
  EXPECT_EQ(peer.effects, std::vector{Effect::kCancelRequest});
  EXPECT_FALSE(peer.dropped());
}

TEST_F(SlowClientPolicyTest, WithManyRequestsOneAfterTheOtherEachHasItsOwnTime) {
  Peer& peer = writes(100);
  pass(20 * kSecond, [&] { peer.now.in += 500, peer.now.awaited += 2; });
  EXPECT_TRUE(peer.effects.empty());
}

TEST_F(SlowClientPolicyTest, OneThatTakesNothingIsPausedThenDropped) {
  Peer& peer = reads(100'000);
  pass(200 * kMs);
  EXPECT_EQ(peer.account.state(), State::kPaused);
  EXPECT_FALSE(peer.reading);
  pass(1 * kSecond);
  EXPECT_EQ(peer.account.state(), State::kWriteStalled);
  pass(600 * kMs);
  EXPECT_EQ(peer.effects.back(), Effect::kCloseSlowReader);
}

TEST_F(SlowClientPolicyTest, WhatIsOpenIsAnsweredBeforeABlockedPeerIsDropped) {
  Peer& peer = reads(100'000);
  peer.now.open = 3;
  pass(4 * kSecond);
  EXPECT_EQ(peer.account.state(), State::kWriteStalled);
  EXPECT_FALSE(peer.dropped());
  peer.now.open = 0;
  pass(200 * kMs);
  EXPECT_TRUE(peer.dropped());
}

TEST_F(SlowClientPolicyTest, APausedOneThatReadsIsReadAgainOnceHalfItsShareIsFree) {
  Peer& peer = reads(100'000);
  pass(200 * kMs);
  ASSERT_FALSE(peer.reading);
  pass(300 * kMs, [&] { peer.now.out += 5'000, peer.now.unread -= 5'000; });
  EXPECT_FALSE(peer.reading) << peer.now.unread;
  pass(500 * kMs, [&] { peer.now.out += 5'000, peer.now.unread -= 5'000; });
  EXPECT_TRUE(peer.reading) << peer.now.unread;
  EXPECT_EQ(peer.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, AOneByteWindowIsBelowTheRate) {
  Peer& peer = reads(3'000);
  pass(2 * kSecond, [&] { peer.now.out += 1, peer.now.unread -= 1; });
  EXPECT_EQ(peer.effects.back(), Effect::kCloseSlowReader);
}

// Many answers that end in one turn wait together for a moment on any connection.
TEST_F(SlowClientPolicyTest, AnswersWrittenTogetherPauseNoQuickPeer) {
  Peer& peer = comes();
  for (int i = 0; i < 20; ++i) {
    peer.now.unread = 130'000;
    slow_client_policy.evaluate(peer.account, time);
    slow_client_policy.evaluate(peer.account, time + kMs);
    peer.now.out += std::exchange(peer.now.unread, 0);
    pass(50 * kMs);
  }
  EXPECT_TRUE(peer.effects.empty());
}

TEST_F(SlowClientPolicyTest, APausedPeerIsNotBlamedForWhatWeDoNotRead) {
  Peer& peer = reads(100'000);
  peer.now.awaited = 2;
  pass(900 * kMs, [&] { peer.now.out += 3'000, peer.now.unread -= 3'000; });
  EXPECT_FALSE(peer.dropped());
  pass(1 * kSecond, [&] {
    peer.now.out += 1'000, peer.now.unread = peer.now.unread > 1'000 ? peer.now.unread - 1'000 : 0;
  });
  ASSERT_TRUE(peer.reading);
  // Its request gets its grace from here on.
  pass(500 * kMs, [&] { peer.now.out += 1'000; });
  EXPECT_EQ(peer.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, AStopOfOurOwnProcessIsTakenForNobodysSlowness) {
  for (int i = 0; i < 60; ++i) i % 2 ? writes(200) : reads(2'000);
  pass(500 * kMs);
  time += 20 * kSecond;  // stopped and continued
  slow_client_policy.evaluate_due_connections(time);
  EXPECT_EQ(slow_client_policy.count(State::kActive), 60u);
  pass(300 * kMs, [&] {
    for (Peer& peer : peers) peer.now.in += 100, peer.now.out += 100;
  });
  EXPECT_EQ(slow_client_policy.count(State::kActive), 60u);
  for (Peer& peer : peers) EXPECT_TRUE(peer.effects.empty());
}

// A word may come before the look that is late, when the loop reads sockets before timers.
TEST_F(SlowClientPolicyTest, NeitherWhenAPeerSpeaksBeforeTheLateLook) {
  Peer& peer = writes(600);
  pass(500 * kMs);
  time += 20 * kSecond;
  Peer& next = writes(100);
  slow_client_policy.evaluate_due_connections(time);
  EXPECT_EQ(peer.account.state(), State::kActive);
  EXPECT_EQ(next.account.state(), State::kActive);
  pass(2 * kSecond);
  EXPECT_TRUE(peer.dropped());
}

TEST_F(SlowClientPolicyTest, WithRoomRunningOutTheLeastRateRises) {
  Peer& peer = writes(500);
  EXPECT_EQ(slow_client_policy.strictness(), 1);
  pass(2 * kSecond, [&] { peer.now.in += 40; });
  EXPECT_EQ(peer.account.state(), State::kActive);
  for (int i = 0; i < 99; ++i) writes(100);
  EXPECT_EQ(slow_client_policy.strictness(), 4);
  pass(400 * kMs, [&] { peer.now.in += 40; });
  EXPECT_TRUE(peer.dropped());
}

TEST_F(SlowClientPolicyTest, WhoHoldsMostForLongestGoesFirst) {
  Peer& large_new = writes(100);
  Peer& small_old = writes(100);
  Peer& large_old = writes(100);
  slow_client_policy.set_held_bytes(small_old.account, 1'000);
  slow_client_policy.set_held_bytes(large_old.account, 50'000);
  pass(600 * kMs, [&] { large_new.now.in += 100; });
  slow_client_policy.set_held_bytes(large_new.account, 60'000);
  EXPECT_EQ(slow_client_policy.costliest_connection(small_old.account, time), &large_old.account);
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(large_old.account));
  slow_client_policy.set_held_bytes(large_new.account, 990'000);
  EXPECT_TRUE(slow_client_policy.exceeds_memory_limit(small_old.account));
}

TEST_F(SlowClientPolicyTest, ABalancerBesideOthersIsBoundByItselfAndAloneIsNot) {
  Peer& slow = writes(100, {1, 1});
  slow_client_policy.set_held_bytes(slow.account, 800'000);
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(slow.account));
  Peer& other = writes(100, {1, 2});
  slow_client_policy.set_held_bytes(other.account, 100'000);
  EXPECT_TRUE(slow_client_policy.exceeds_memory_limit(slow.account));
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(other.account));
  pass(300 * kMs);
  EXPECT_EQ(slow_client_policy.costliest_connection(slow.account, time), &slow.account);
  // What a balancer beside others holds beyond its share is waited for less.
  EXPECT_EQ(slow.account.state(), State::kFinalWarning);
  EXPECT_EQ(other.account.state(), State::kActive);
}

TEST_F(SlowClientPolicyTest, APeerThatTellsItsBalancersNumberTakesWhatItHoldsAlong) {
  Peer& peer = writes(100, {1, -1});
  comes({1, 7});
  slow_client_policy.set_held_bytes(peer.account, 800'000);
  ASSERT_TRUE(slow_client_policy.exceeds_memory_limit(peer.account));
  slow_client_policy.set_balancer(peer.account, {1, 7});
  EXPECT_FALSE(slow_client_policy.exceeds_memory_limit(peer.account));  // the only balancer now
}

TEST_F(SlowClientPolicyTest, ForItsDescriptorTheSlowestOfTheLargestBalancerGoes) {
  writes(100, {1, 1});
  Peer& first = writes(100, {1, 2});
  Peer& second = writes(100, {1, 2});
  EXPECT_EQ(slow_client_policy.slowest_connection(), nullptr);
  pass(1200 * kMs);
  second.now.open = 1;  // has work in hand
  EXPECT_EQ(slow_client_policy.slowest_connection(), &first.account);
}

// All connections of one balancer are slow; another's beside it are as they were.
TEST_F(SlowClientPolicyTest, AWholeSlowBalancerIsLetGoAndTheQuickOneBesideItIsNot) {
  std::vector<Peer*> quick;
  for (int i = 0; i < 40; ++i) writes(100, {1, 1});
  for (int i = 0; i < 10; ++i) quick.push_back(&reads(8'000, {2, 2}));
  pass(3 * kSecond, [&] {
    for (Peer* peer : quick) peer->now.out += 8'000;
  });
  EXPECT_EQ(slow_client_policy.count(State::kRemoved), 40u);
  for (Peer* peer : quick) EXPECT_TRUE(peer->effects.empty());
}

TEST_F(SlowClientPolicyTest, OnesThatLeaveAreForgotten) {
  for (int i = 0; i < 10; ++i) {
    Peer& peer = writes(100, {1, i});
    slow_client_policy.set_held_bytes(peer.account, 1'000);
    slow_client_policy.remove_connection(peer.account);
  }
  EXPECT_EQ(slow_client_policy.bytes(), 0u);
  EXPECT_EQ(slow_client_policy.watched(), 0u);
  EXPECT_EQ(slow_client_policy.next_evaluation_at(), 0);
  Peer& hurried = writes(100);
  pass(1200 * kMs);
  ASSERT_EQ(slow_client_policy.slowest_connection(), &hurried.account);
  slow_client_policy.remove_connection(hurried.account);
  EXPECT_EQ(slow_client_policy.slowest_connection(), nullptr);
}

}  // namespace
}  // namespace myrtlecroft::peers
