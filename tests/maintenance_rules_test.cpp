// The rules by which the replicated state accepts or rejects steps of maintenance and releases.
#include <gtest/gtest.h>

#include "agreement/replicated_state.h"
#include "releases/disruption_budget.h"
#include "releases_fakes.h"

namespace myrtlecroft::releases {
namespace {

using agreement::Decision;
using agreement::MaintenanceInput;
using agreement::MaintenancePhase;
using agreement::ReplicatedState;
using agreement::Verdict;

struct MaintenanceRulesTest : testing::Test {
  MaintenanceRulesTest() {
    Decision first = next();
    *first.mutable_budgets() = budgets_of(fleet_of(4));
    for (int i = 1; i <= 4; ++i) {
      routing_state::PersistedNode& node = *first.add_nodes();
      node.set_name("n" + std::to_string(i));
      node.set_state("serving");
      node.set_life(7);
      node.set_version(1);
    }
    EXPECT_EQ(state.apply(first), Verdict::kTaken);
    Decision start = next();
    start.mutable_release()->set_input(agreement::RELEASE_START);
    *start.mutable_release()->mutable_plan() = plan_of(2);
    EXPECT_EQ(state.apply(start), Verdict::kTaken);
  }
  Decision next(Nanos elapsed = 0) const {
    Decision out;
    out.set_format(agreement::kFormat);
    out.set_term(1);
    out.set_basis(state.epoch().number);
    out.set_elapsed_ns(elapsed);
    return out;
  }
  static agreement::MaintenanceStep& add_step(Decision& to, const std::string& node, MaintenanceInput input) {
    agreement::MaintenanceStep& out = *to.add_trips();
    out.set_node(node);
    out.set_input(input);
    return out;
  }
  Verdict grant(const std::string& node, Nanos duration = 10 * kSecond) {
    Decision decision = next();
    agreement::MaintenanceStep& one = add_step(decision, node, agreement::TRIP_GRANT);
    one.set_why(agreement::WHY_RELEASE);
    one.set_version(2);
    one.set_for_ns(duration);
    return state.apply(decision);
  }
  Verdict apply_step(const std::string& node, MaintenanceInput input, std::uint64_t applied = 0) {
    Decision decision = next();
    add_step(decision, node, input);
    decision.set_applied(applied);
    return state.apply(decision);
  }
  Verdict apply_release(agreement::ReleaseInput input) {
    Decision decision = next();
    decision.mutable_release()->set_input(input);
    return state.apply(decision);
  }
  void publish_without(const std::string& node) {
    Decision decision = next();
    decision.mutable_picture()->set_number(state.published() + 1);
    decision.mutable_picture()->add_nodes()->set_name(node);
    ASSERT_EQ(state.apply(decision), Verdict::kTaken);
  }
  void grant_drain_and_order(const std::string& node) {
    ASSERT_EQ(grant(node), Verdict::kTaken);
    publish_without(node);
    ASSERT_EQ(apply_step(node, agreement::TRIP_EMPTIED, state.published()), Verdict::kTaken);
    ASSERT_EQ(apply_step(node, agreement::TRIP_ORDER), Verdict::kTaken);
  }
  void restart(const std::string& node, std::uint32_t version, const char* in_state = "ramping") {
    Decision decision = next();
    routing_state::PersistedNode& memory = *decision.add_nodes();
    memory.set_name(node);
    memory.set_state(in_state);
    memory.set_life(8);
    memory.set_version(version);
    ASSERT_EQ(state.apply(decision), Verdict::kTaken);
  }
  const agreement::MaintenanceLease* lease(const std::string& node) const {
    return state.outings().lease(node);
  }
  ReplicatedState state;
};

TEST_F(MaintenanceRulesTest, GrantBeyondTheBudgetIsRejected) {
  EXPECT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kOutings) << "not twice";
  EXPECT_EQ(grant("n2"), Verdict::kTaken);
  EXPECT_EQ(grant("n3"), Verdict::kOutings);
  EXPECT_EQ(state.outings().leases().size(), 2u);
}

TEST_F(MaintenanceRulesTest, FailedServerUsesUpTheBudget) {
  Decision failed = next();
  routing_state::PersistedNode& node = *failed.add_nodes();
  node.set_name("n4");
  node.set_state("silent");
  ASSERT_EQ(state.apply(failed), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(grant("n2"), Verdict::kOutings);
}

TEST_F(MaintenanceRulesTest, GrantUnderABudgetOfZeroIsRejected) {
  Decision none = next();
  *none.mutable_budgets() = budgets_of(fleet_of(4, {.by_count = true, .max = 0}));
  ASSERT_EQ(state.apply(none), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kOutings);
}

TEST_F(MaintenanceRulesTest, ServerIsDrainedOnceNoProxyRoutesToIt) {
  ASSERT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_EMPTIED, 99), Verdict::kOutings)
      << "no snapshot without it is published yet";
  publish_without("n1");
  EXPECT_EQ(apply_step("n1", agreement::TRIP_EMPTIED, state.published() - 1), Verdict::kOutings);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_ORDER), Verdict::kOutings) << "it is not drained yet";
  EXPECT_EQ(apply_step("n1", agreement::TRIP_EMPTIED, state.published()), Verdict::kTaken);
  EXPECT_EQ(lease("n1")->place, MaintenancePhase::kEmpty);
}

TEST_F(MaintenanceRulesTest, ServerIsBackOnlyAsNewIncarnationInTheTargetVersion) {
  grant_drain_and_order("n1");
  EXPECT_EQ(apply_step("n1", agreement::TRIP_CAME_BACK), Verdict::kOutings) << "the same incarnation";
  restart("n1", 1);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_CAME_BACK), Verdict::kOutings) << "the old version";
  restart("n1", 2);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_WARM), Verdict::kOutings) << "it is in slow start";
  restart("n1", 2, "serving");
  EXPECT_EQ(apply_step("n1", agreement::TRIP_WARM), Verdict::kTaken);
  EXPECT_EQ(lease("n1"), nullptr);
}

TEST_F(MaintenanceRulesTest, LeaseExpiresWhenNobodyEndsIt) {
  ASSERT_EQ(grant("n1", 500 * kMs), Verdict::kTaken);
  ASSERT_EQ(state.apply(next(499 * kMs)), Verdict::kTaken);
  EXPECT_NE(lease("n1"), nullptr);
  ASSERT_EQ(state.apply(next(kMs)), Verdict::kTaken);
  EXPECT_EQ(lease("n1"), nullptr);
  EXPECT_EQ(state.outings().taken("n1")->failed(), "its permit ran out");
}

TEST_F(MaintenanceRulesTest, HaltCancelsOrderedAndDrainingServersAtOnce) {
  grant_drain_and_order("n1");
  ASSERT_EQ(grant("n2"), Verdict::kTaken);
  fencing::Epoch before = state.owners_epoch();
  ASSERT_EQ(apply_release(agreement::RELEASE_HALT), Verdict::kTaken);
  EXPECT_EQ(lease("n1")->place, MaintenancePhase::kReturning);
  EXPECT_EQ(lease("n2")->place, MaintenancePhase::kReturning);
  EXPECT_GT(state.owners_epoch(), before) << "servers need a newer order that cancels the restart";
  EXPECT_EQ(grant("n3"), Verdict::kOutings);
  // It restarted before the cancellation reached it.
  restart("n1", 2);
  EXPECT_EQ(apply_step("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  EXPECT_EQ(lease("n1")->place, MaintenancePhase::kWarming);
}

TEST_F(MaintenanceRulesTest, RollbackIsGrantedOnlyToUpdatedServersAndTheirFormerVersion) {
  grant_drain_and_order("n1");
  restart("n1", 2, "serving");
  ASSERT_EQ(apply_step("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  ASSERT_EQ(apply_step("n1", agreement::TRIP_WARM), Verdict::kTaken);
  ASSERT_EQ(apply_release(agreement::RELEASE_GO_BACK), Verdict::kTaken);
  for (auto [node, version, accepted] : {std::tuple("n2", 1u, false), {"n1", 3u, false}, {"n1", 1u, true}}) {
    Decision decision = next();
    agreement::MaintenanceStep& one = add_step(decision, node, agreement::TRIP_GRANT);
    one.set_why(agreement::WHY_BACK);
    one.set_version(version);
    one.set_for_ns(kSecond);
    EXPECT_EQ(state.apply(decision) == Verdict::kTaken, accepted) << node << " to " << version;
  }
}

TEST_F(MaintenanceRulesTest, SecondReleaseIsRejectedWhileOneIsUnderWay) {
  EXPECT_EQ(apply_release(agreement::RELEASE_START), Verdict::kOutings);
  EXPECT_EQ(apply_release(agreement::RELEASE_RESUME), Verdict::kOutings) << "it is not halted";
}

TEST_F(MaintenanceRulesTest, ImageRestoresLeasesDrainsAndResults) {
  grant_drain_and_order("n1");
  Decision decision = next();
  decision.add_drains()->set_node("n3");
  decision.mutable_drains(0)->set_wanted(true);
  decision.add_results()->set_id(5);
  ASSERT_EQ(state.apply(decision), Verdict::kTaken);
  ReplicatedState other;
  ASSERT_TRUE(other.restore(state.image()));
  EXPECT_EQ(other.digest(), state.digest());
  EXPECT_EQ(other.outings().lease("n1")->place, MaintenancePhase::kOrdered);
}

TEST_F(MaintenanceRulesTest, OlderFormatRejectsMaintenanceAndCannotRestoreIt) {
  Decision older = next();
  older.set_format(1);
  add_step(older, "n1", agreement::TRIP_GRANT);
  EXPECT_EQ(state.apply(older), Verdict::kOutings);
  ReplicatedState older_replica(1);
  EXPECT_FALSE(older_replica.restore(state.image()));
  EXPECT_EQ(older_replica.apply(next()), Verdict::kNewer);
}

}  // namespace
}  // namespace myrtlecroft::releases
