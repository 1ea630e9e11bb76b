// What instances of the control service agree on: the rules, a server's fence, who is in touch, and whole
// fleets in virtual time.
#include <gtest/gtest.h>

#include "agreement/leader_lease.h"
#include "agreement/proposal.h"
#include "agreement/replicated_state.h"
#include "agreement_world.h"
#include "fencing/fencing_guard.h"

namespace myrtlecroft::agreement {
namespace {

using fencing::FencingGuard;
using routing::ShardState;

struct StateStory : testing::Test {
  StateStory() {
    Decision begin = next();
    begin.set_begin_shards(2);
    begin.set_first_start(true);
    begin.set_window_ns(1000 * kMs);
    for (std::uint32_t shard : {0u, 1u}) hand_over(begin, shard, "n1", 7);
    routing_state::PersistedNode& node = *begin.add_nodes();
    node.set_name("n1");
    node.set_life(7);
    show(begin, {0, 0});
    EXPECT_EQ(state.apply(begin), ApplyResult::kApplied);
  }
  Decision next(Nanos elapsed = 0) const {
    Decision out;
    out.set_format(kFormat);
    out.set_term(std::max<std::uint64_t>(1, state.epoch().term));
    out.set_basis(state.epoch().number);
    out.set_elapsed_ns(elapsed);
    return out;
  }
  static ShardStep& step(Decision& decision, std::uint32_t shard, ShardTransition what) {
    ShardStep& out = *decision.add_shards();
    out.set_shard(shard);
    out.set_step(what);
    return out;
  }
  static void hand_over(Decision& decision, std::uint32_t shard, const std::string& owner,
                        std::uint64_t incarnation) {
    ShardStep& out = step(decision, shard, STEP_ASSIGN);
    out.set_owner(owner);
    out.set_life(incarnation);
  }
  void show(Decision& decision, std::vector<int> shards) const {
    decision.mutable_picture()->set_number(state.published() + 1);
    for (const char* name : {"n1", "n2"}) decision.mutable_picture()->add_nodes()->set_name(name);
    for (int owner : shards) decision.mutable_picture()->add_shards(owner);
  }
  // Closed in what is served, and cooling.
  void close(std::uint32_t shard) {
    Decision decision = next();
    step(decision, shard, STEP_CLOSE);
    show(decision, {shard == 0 ? routing::kClosed : 0, shard == 1 ? routing::kClosed : 0});
    ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
  }
  ApplyResult cool(std::uint32_t shard, std::uint64_t applied) {
    Decision decision = next();
    step(decision, shard, STEP_QUARANTINE);
    decision.set_applied(applied);
    return state.apply(decision);
  }
  ReplicatedState state;
};

TEST_F(StateStory, WhatWasDrawnFromAnotherStateChangesNothing) {
  Decision late = next();
  step(late, 0, STEP_CLOSE);
  EXPECT_EQ(state.apply(next(10 * kMs)), ApplyResult::kApplied);
  std::uint64_t before = state.digest();
  EXPECT_EQ(state.apply(late), ApplyResult::kStaleBasis);
  EXPECT_EQ(state.digest(), before);
}

TEST_F(StateStory, AnEarlierLeaderIsNotHeeded) {
  Decision newer = next();
  newer.set_term(5);
  EXPECT_EQ(state.apply(newer), ApplyResult::kApplied);
  Decision older = next();
  older.set_term(4);
  EXPECT_EQ(state.apply(older), ApplyResult::kStaleTerm);
}

TEST_F(StateStory, AShardCoolsOnlyOnceAllProxiesHaveItClosed) {
  close(0);
  EXPECT_EQ(cool(0, state.published() - 1), ApplyResult::kInvalidShards);
  EXPECT_EQ(cool(0, state.published()), ApplyResult::kApplied);
}

TEST_F(StateStory, AShardGoesToAnotherOnlyAfterItsWindow) {
  close(0);
  ASSERT_EQ(cool(0, state.published()), ApplyResult::kApplied);
  Decision early = next(999 * kMs);
  hand_over(early, 0, "n2", 3);
  EXPECT_EQ(state.apply(early), ApplyResult::kInvalidShards);
  EXPECT_EQ(state.shards()[0].state, ShardState::kQuarantined);
  Decision in_time = next(1000 * kMs);
  hand_over(in_time, 0, "n2", 3);
  EXPECT_EQ(state.apply(in_time), ApplyResult::kApplied);
  EXPECT_EQ(state.shards()[0].owner, "n2");
}

TEST_F(StateStory, AClockThatLeapsShortensNoWindow) {
  close(0);
  ASSERT_EQ(cool(0, state.published()), ApplyResult::kApplied);
  Decision leap = next(3600 * kSecond);
  hand_over(leap, 0, "n2", 3);
  EXPECT_EQ(state.apply(leap), ApplyResult::kInvalidTime);
  EXPECT_EQ(state.apply(next(-1)), ApplyResult::kInvalidTime);
}

TEST_F(StateStory, OnlyTheLifeThatRanTheKeysGetsThemBackAtOnce) {
  close(0);
  Decision other = next();
  ShardStep& to = step(other, 0, STEP_REOPEN);
  to.set_owner("n1");
  to.set_life(8);
  EXPECT_EQ(state.apply(other), ApplyResult::kInvalidShards);
  Decision same = next();
  ShardStep& back = step(same, 0, STEP_REOPEN);
  back.set_owner("n1");
  back.set_life(7);
  EXPECT_EQ(state.apply(same), ApplyResult::kApplied);
}

TEST_F(StateStory, APictureShowsNoShardOpenToAnother) {
  Decision wrong = next();
  show(wrong, {0, 1});
  EXPECT_EQ(state.apply(wrong), ApplyResult::kInvalidSnapshot);
  Decision skipped = next();
  show(skipped, {0, 0});
  skipped.mutable_picture()->set_number(state.published() + 2);
  EXPECT_EQ(state.apply(skipped), ApplyResult::kInvalidSnapshot);
}

TEST_F(StateStory, ADecisionIsInForceWholeOrNotAtAll) {
  std::uint64_t before = state.digest();
  Decision half = next(100 * kMs);
  step(half, 0, STEP_CLOSE);
  step(half, 1, STEP_QUARANTINE);
  EXPECT_EQ(state.apply(half), ApplyResult::kInvalidShards);
  EXPECT_EQ(state.digest(), before);
}

TEST_F(StateStory, AProxyThatIsGoneIsForgottenByAgreedTime) {
  Decision come = next();
  come.add_proxies_here("p");
  come.set_forget_proxies_ns(1500 * kMs);
  EXPECT_EQ(state.apply(come), ApplyResult::kApplied);
  Decision go = next();
  go.add_proxies_gone("p");
  EXPECT_EQ(state.apply(go), ApplyResult::kApplied);
  EXPECT_EQ(state.apply(next(1499 * kMs)), ApplyResult::kApplied);
  EXPECT_TRUE(state.proxies().contains("p"));
  EXPECT_EQ(state.apply(next(kMs)), ApplyResult::kApplied);
  EXPECT_FALSE(state.proxies().contains("p"));
}

TEST_F(StateStory, AnImageIsTheWholeState) {
  close(1);
  ReplicatedState other;
  ASSERT_TRUE(other.restore(state.image()));
  EXPECT_EQ(other.digest(), state.digest());
  EXPECT_EQ(other.owners_epoch(), state.owners_epoch());
  EXPECT_EQ(other.shards()[1].closed_in, state.published());
}

TEST_F(StateStory, WhatANewerVersionSaysIsNotGuessedAt) {
  Decision newer = next();
  newer.set_format(kFormat + 1);
  EXPECT_EQ(state.apply(newer), ApplyResult::kUnknownFormat);
  StateImage image;
  image.ParseFromString(state.image());
  image.set_format(kFormat + 1);
  EXPECT_FALSE(ReplicatedState().restore(image.SerializeAsString()));
  EXPECT_EQ(state.apply("\xff\xff"), ApplyResult::kUnreadable);
}

TEST(FenceStory, NothingIsItsOwnBeforeAnOrder) {
  FencingGuard fence;
  EXPECT_FALSE(fence.admits("3f"));
  EXPECT_EQ(fence.accept({{1, 1}, 9, 1, {3}}, 9), FencingGuard::Verdict::kAccepted);
  EXPECT_TRUE(fence.admits("3f"));
  EXPECT_TRUE(fence.admits("3F"));
  EXPECT_FALSE(fence.admits("4f"));
  EXPECT_FALSE(fence.admits(""));
  EXPECT_FALSE(fence.admits("zz"));
}

TEST(FenceStory, AnInstanceLeftBehindIsNotHeeded) {
  FencingGuard fence;
  fence.accept({{2, 10}, 9, 1, {3}}, 9);
  EXPECT_EQ(fence.accept({{1, 9}, 9, 1, {4}}, 9), FencingGuard::Verdict::kStale);
  EXPECT_EQ(fence.accept({{2, 10}, 9, 1, {4}}, 9), FencingGuard::Verdict::kDuplicate);
  EXPECT_TRUE(fence.admits("3"));
  EXPECT_FALSE(fence.admits("4"));
}

TEST(FenceStory, AnOrderForAnEarlierLifeOpensNothing) {
  FencingGuard fence;
  EXPECT_EQ(fence.accept({{2, 10}, 8, 1, {3}}, 9), FencingGuard::Verdict::kOtherIncarnation);
  EXPECT_FALSE(fence.admits("3"));
}

// Words between two instances, as they would say them.
struct ContactStory : testing::Test {
  consensus::Heartbeat word_of(const LeaderLease& from, consensus::InstanceId to,
                               consensus::InstanceId leader, Nanos now, bool confirmed = false) {
    consensus::Heartbeat out;
    from.fill_stamps(to, 3, leader, now, out);
    out.set_confirmed(confirmed);
    return out;
  }
  LeaderLease leader{1, 1000 * kMs};
  LeaderLease follower{2, 1000 * kMs};
};

TEST_F(ContactStory, AMajorityThatAnswersIsTouch) {
  follower.receive(1, word_of(leader, 2, 1, 100 * kMs), 3, 1);
  leader.receive(2, word_of(follower, 1, 1, 7 * kMs), 3, 1);
  EXPECT_TRUE(leader.has_quorum(3, 1, 3, 200 * kMs));
  EXPECT_FALSE(leader.has_quorum(3, 1, 5, 200 * kMs)) << "one other of five is no majority";
  EXPECT_FALSE(leader.has_quorum(4, 1, 3, 200 * kMs)) << "a word of another term proves nothing";
  EXPECT_FALSE(leader.has_quorum(3, 1, 3, 1200 * kMs));
}

TEST_F(ContactStory, WhatLayInASocketWhileAProcessStoodStillProvesNothing) {
  leader.receive(2, word_of(follower, 1, 1, 5 * kMs), 3, 1);
  follower.receive(1, word_of(leader, 2, 1, 10 * kMs, true), 3, 1);
  leader.receive(2, word_of(follower, 1, 1, 50 * kMs), 3, 1);
  consensus::Heartbeat waiting = word_of(leader, 2, 1, 60 * kMs, true);
  // The follower stands still for a minute, and only then reads what was written to it at once.
  follower.receive(1, waiting, 3, 1);
  EXPECT_TRUE(follower.has_quorum(3, 1, 3, 100 * kMs));
  EXPECT_FALSE(follower.has_quorum(3, 1, 3, 60 * kSecond));
}

// What two instances say of proxies.
struct BookStory : testing::Test {
  BookStory() {
    Decision come;
    come.set_format(kFormat);
    come.set_term(1);
    come.add_proxies_here("p");
    come.mutable_picture()->set_number(1);
    EXPECT_EQ(state.apply(come), ApplyResult::kApplied);
  }
  void update(consensus::InstanceId by, std::uint64_t applied, Nanos at) {
    google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
    words.Add()->set_id("p");
    words.rbegin()->set_applied(applied);
    words.rbegin()->set_here(true);
    book.update(by, words, at);
  }
  ReplicatedState state;
  ProxyRegistry book{1000 * kMs};
};

TEST_F(BookStory, AProxyThatMovedOnIsNotHeldToWhatADeadInstanceSaid) {
  update(1, 0, 0);
  update(2, 1, 500 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 600 * kMs), 0u) << "both say that they have it: the least counts";
  update(2, 1, 1500 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1600 * kMs), 1u);
}

TEST_F(BookStory, AProxyOfAnInstanceThatIsCutOffHoldsMovesUp) {
  update(1, 0, 0);
  EXPECT_EQ(book.applied_by_all(state, 3600 * kSecond), 0u);
}

TEST_F(BookStory, WhatChangesAfterALookIsSeenInTheNext) {
  update(1, 1, 0);
  EXPECT_EQ(book.applied_by_all(state, 0), 1u);
  EXPECT_EQ(book.here(), (std::set<std::string>{"p"}));
  update(2, 0, 100 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 100 * kMs), 0u) << "another word";
  update(1, 1, 1050 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1200 * kMs), 1u)
      << "the same word again, while the other has grown old";
  book.refresh(2, 1300 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1300 * kMs), 0u) << "and is said again";
  book.update(1, {}, 1400 * kMs);
  book.update(2, {}, 1400 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1400 * kMs), 0u) << "the last that it had where it was last";
  EXPECT_TRUE(book.here().empty());
  Decision gone;
  gone.set_format(kFormat);
  gone.set_term(state.epoch().term);
  gone.set_basis(state.epoch().number);
  gone.set_forget_proxies_ns(1);
  gone.set_elapsed_ns(kMs);
  gone.add_proxies_gone("p");
  ASSERT_EQ(state.apply(gone), ApplyResult::kApplied);
  gone.set_basis(state.epoch().number);
  gone.clear_proxies_gone();
  ASSERT_EQ(state.apply(gone), ApplyResult::kApplied);
  EXPECT_EQ(book.applied_by_all(state, 1400 * kMs), state.published()) << "forgotten by agreement";
}

TEST_F(BookStory, ADraftNamesJustTheProxiesThatCameOrWent) {
  Decision more;
  more.set_format(kFormat);
  more.set_term(state.epoch().term);
  more.set_basis(state.epoch().number);
  for (const char* id : {"a", "q", "z"}) more.add_proxies_here(id);
  ASSERT_EQ(state.apply(more), ApplyResult::kApplied);
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
  for (const char* id : {"b", "p", "z", "zz"}) {
    words.Add()->set_id(id);
    words.rbegin()->set_here(true);
  }
  book.update(1, words, 0);
  fleet::Fleet fleet;
  routing::Router router(fleet, std::nullopt, true, 0, [](const std::string&) {});
  ProposalContext leading;
  leading.router = &router;
  leading.proxies = &book;
  Decision drawn = build_proposal(state, leading);
  auto list = [](const auto& ids) { return std::vector<std::string>(ids.begin(), ids.end()); };
  EXPECT_EQ(list(drawn.proxies_here()), (std::vector<std::string>{"b", "zz"}));
  EXPECT_EQ(list(drawn.proxies_gone()), (std::vector<std::string>{"a", "q"}));
}

// A few seeds of what `make measure-agreement_sim` plays by the thousand.
TEST(WorldStory, NothingIsDecidedTwiceWhateverFails) {
  for (std::uint32_t seed = 1; seed <= 16; ++seed) {
    rehearsal::WorldOptions options;
    options.seed = seed;
    options.instances = seed % 2 ? 3 : 5;
    rehearsal::WorldResult result = rehearsal::World(options).play();
    EXPECT_EQ(result.violations(), 0) << result.first;
    EXPECT_EQ(result.wrong_drafts, 0) << "seed " << seed;
    EXPECT_GT(result.runs, 500u) << "seed " << seed;
  }
}

// Seeds in which a folder is put back from an older copy while the others run.
TEST(WorldStory, AFolderPutBackFromAnOlderCopyIsFoundOut) {
  int refused = 0;
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    rehearsal::WorldOptions options;
    options.seed = seed;
    options.instances = 5;
    options.faults_per_s = 1;
    rehearsal::WorldResult result = rehearsal::World(options).play();
    EXPECT_EQ(result.violations(), 0) << result.first;
    refused += result.refused_folders;
  }
  EXPECT_GT(refused, 0);
}

TEST(WorldStory, ASeedPlaysTheSameAgain) {
  rehearsal::WorldOptions options;
  options.seed = 11;
  rehearsal::WorldResult first = rehearsal::World(options).play();
  rehearsal::WorldResult second = rehearsal::World(options).play();
  EXPECT_EQ(first.decisions, second.decisions);
  EXPECT_EQ(first.runs, second.runs);
  EXPECT_EQ(first.rejected, second.rejected);
}

}  // namespace
}  // namespace myrtlecroft::agreement
