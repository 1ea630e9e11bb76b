// The decisions that the replicated state applies, and those that it rejects.
#include "agreement/replicated_state.h"

#include <gtest/gtest.h>

namespace myrtlecroft::agreement {
namespace {

using routing::ShardState;

struct ReplicatedStateTest : testing::Test {
  ReplicatedStateTest() {
    Decision begin = next();
    begin.set_begin_shards(2);
    begin.set_first_start(true);
    begin.set_window_ns(1000 * kMs);
    for (std::uint32_t shard : {0u, 1u}) assign_shard(begin, shard, "n1", 7);
    routing_state::PersistedNode& node = *begin.add_nodes();
    node.set_name("n1");
    node.set_life(7);
    add_snapshot(begin, {0, 0});
    EXPECT_EQ(state.apply(begin), ApplyResult::kApplied);
  }
  Decision next(Nanos elapsed = 0) const {
    Decision out;
    out.set_format(kEntryFormat);
    out.set_term(std::max<std::uint64_t>(1, state.epoch().term));
    out.set_basis(state.epoch().number);
    out.set_elapsed_ns(elapsed);
    return out;
  }
  static ShardStep& step(Decision& decision, std::uint32_t shard, ShardTransition transition) {
    ShardStep& out = *decision.add_shards();
    out.set_shard(shard);
    out.set_step(transition);
    return out;
  }
  static void assign_shard(Decision& decision, std::uint32_t shard, const std::string& owner,
                           std::uint64_t incarnation) {
    ShardStep& out = step(decision, shard, STEP_ASSIGN);
    out.set_owner(owner);
    out.set_life(incarnation);
  }
  void add_snapshot(Decision& decision, std::vector<int> shards) const {
    decision.mutable_picture()->set_number(state.published() + 1);
    for (const char* name : {"n1", "n2"}) decision.mutable_picture()->add_nodes()->set_name(name);
    for (int owner : shards) decision.mutable_picture()->add_shards(owner);
  }
  // Closes the shard, also in the published snapshot.
  void close(std::uint32_t shard) {
    Decision decision = next();
    step(decision, shard, STEP_CLOSE);
    add_snapshot(decision, {shard == 0 ? routing::kClosed : 0, shard == 1 ? routing::kClosed : 0});
    ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
  }
  ApplyResult quarantine(std::uint32_t shard, std::uint64_t applied) {
    Decision decision = next();
    step(decision, shard, STEP_QUARANTINE);
    decision.set_applied(applied);
    return state.apply(decision);
  }
  ReplicatedState state;
};

TEST_F(ReplicatedStateTest, DecisionWithAStaleBasisHasNoEffect) {
  Decision stale = next();
  step(stale, 0, STEP_CLOSE);
  EXPECT_EQ(state.apply(next(10 * kMs)), ApplyResult::kApplied);
  std::uint64_t before = state.digest();
  EXPECT_EQ(state.apply(stale), ApplyResult::kStaleBasis);
  EXPECT_EQ(state.digest(), before);
}

TEST_F(ReplicatedStateTest, DecisionOfAnEarlierTermIsRejected) {
  Decision newer = next();
  newer.set_term(5);
  EXPECT_EQ(state.apply(newer), ApplyResult::kApplied);
  Decision older = next();
  older.set_term(4);
  EXPECT_EQ(state.apply(older), ApplyResult::kStaleTerm);
}

TEST_F(ReplicatedStateTest, ShardIsQuarantinedOnlyOnceAllProxiesHaveItClosed) {
  close(0);
  EXPECT_EQ(quarantine(0, state.published() - 1), ApplyResult::kInvalidShards);
  EXPECT_EQ(quarantine(0, state.published()), ApplyResult::kApplied);
}

TEST_F(ReplicatedStateTest, ShardGetsAnotherOwnerOnlyAfterItsQuarantine) {
  close(0);
  ASSERT_EQ(quarantine(0, state.published()), ApplyResult::kApplied);
  Decision early = next(999 * kMs);
  assign_shard(early, 0, "n2", 3);
  EXPECT_EQ(state.apply(early), ApplyResult::kInvalidShards);
  EXPECT_EQ(state.shards()[0].state, ShardState::kQuarantined);
  Decision in_time = next(1000 * kMs);
  assign_shard(in_time, 0, "n2", 3);
  EXPECT_EQ(state.apply(in_time), ApplyResult::kApplied);
  EXPECT_EQ(state.shards()[0].owner, "n2");
}

TEST_F(ReplicatedStateTest, ClockJumpDoesNotShortenTheQuarantine) {
  close(0);
  ASSERT_EQ(quarantine(0, state.published()), ApplyResult::kApplied);
  Decision jump = next(3600 * kSecond);
  assign_shard(jump, 0, "n2", 3);
  EXPECT_EQ(state.apply(jump), ApplyResult::kInvalidTime);
  EXPECT_EQ(state.apply(next(-1)), ApplyResult::kInvalidTime);
}

TEST_F(ReplicatedStateTest, ShardIsReopenedOnlyForTheIncarnationThatOwnedIt) {
  close(0);
  Decision new_incarnation = next();
  ShardStep& to = step(new_incarnation, 0, STEP_REOPEN);
  to.set_owner("n1");
  to.set_life(8);
  EXPECT_EQ(state.apply(new_incarnation), ApplyResult::kInvalidShards);
  Decision same = next();
  ShardStep& back = step(same, 0, STEP_REOPEN);
  back.set_owner("n1");
  back.set_life(7);
  EXPECT_EQ(state.apply(same), ApplyResult::kApplied);
}

TEST_F(ReplicatedStateTest, SnapshotThatOpensAShardToAnotherServerIsRejected) {
  Decision invalid = next();
  add_snapshot(invalid, {0, 1});
  EXPECT_EQ(state.apply(invalid), ApplyResult::kInvalidSnapshot);
  Decision skipped = next();
  add_snapshot(skipped, {0, 0});
  skipped.mutable_picture()->set_number(state.published() + 2);
  EXPECT_EQ(state.apply(skipped), ApplyResult::kInvalidSnapshot);
}

TEST_F(ReplicatedStateTest, DecisionIsAppliedCompletelyOrNotAtAll) {
  std::uint64_t before = state.digest();
  Decision partly_invalid = next(100 * kMs);
  step(partly_invalid, 0, STEP_CLOSE);
  step(partly_invalid, 1, STEP_QUARANTINE);
  EXPECT_EQ(state.apply(partly_invalid), ApplyResult::kInvalidShards);
  EXPECT_EQ(state.digest(), before);
}

TEST_F(ReplicatedStateTest, DisconnectedProxyIsForgottenByAgreedTime) {
  Decision connect = next();
  connect.add_proxies_here("p");
  connect.set_forget_proxies_ns(1500 * kMs);
  EXPECT_EQ(state.apply(connect), ApplyResult::kApplied);
  Decision disconnect = next();
  disconnect.add_proxies_gone("p");
  EXPECT_EQ(state.apply(disconnect), ApplyResult::kApplied);
  EXPECT_EQ(state.apply(next(1499 * kMs)), ApplyResult::kApplied);
  EXPECT_TRUE(state.proxies().contains("p"));
  EXPECT_EQ(state.apply(next(kMs)), ApplyResult::kApplied);
  EXPECT_FALSE(state.proxies().contains("p"));
}

TEST_F(ReplicatedStateTest, ImageRestoresTheCompleteState) {
  close(1);
  ReplicatedState other;
  ASSERT_TRUE(other.restore(state.image()));
  EXPECT_EQ(other.digest(), state.digest());
  EXPECT_EQ(other.assignments_epoch(), state.assignments_epoch());
  EXPECT_EQ(other.shards()[1].closed_in, state.published());
}

TEST_F(ReplicatedStateTest, DecisionAndImageOfANewerFormatAreRejected) {
  Decision newer = next();
  newer.set_format(kEntryFormat + 1);
  EXPECT_EQ(state.apply(newer), ApplyResult::kUnknownFormat);
  StateImage image;
  image.ParseFromString(state.image());
  image.set_format(kEntryFormat + 1);
  EXPECT_FALSE(ReplicatedState().restore(image.SerializeAsString()));
  EXPECT_EQ(state.apply("\xff\xff"), ApplyResult::kMalformed);
}

}  // namespace
}  // namespace myrtlecroft::agreement
