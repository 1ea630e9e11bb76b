// The rules by which the replicated state accepts or rejects steps of maintenance leases and releases.
#include <gtest/gtest.h>

#include "agreement/replicated_state.h"
#include "releases/disruption_budget.h"
#include "releases_fakes.h"

namespace myrtlecroft::releases {
namespace {

using agreement::ApplyResult;
using agreement::Decision;
using agreement::MaintenanceInput;
using agreement::MaintenancePhase;
using agreement::ReplicatedState;

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
    EXPECT_EQ(state.apply(first), ApplyResult::kApplied);
    Decision start = next();
    start.mutable_release()->set_input(agreement::RELEASE_START);
    *start.mutable_release()->mutable_plan() = plan_of(2);
    EXPECT_EQ(state.apply(start), ApplyResult::kApplied);
  }
  Decision next(Nanos elapsed = 0) const {
    Decision out;
    out.set_format(agreement::kEntryFormat);
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
  ApplyResult grant(const std::string& node, Nanos duration = 10 * kSecond) {
    Decision decision = next();
    agreement::MaintenanceStep& step = add_step(decision, node, agreement::MAINTENANCE_GRANT);
    step.set_why(agreement::REASON_RELEASE);
    step.set_version(2);
    step.set_for_ns(duration);
    return state.apply(decision);
  }
  ApplyResult apply_step(const std::string& node, MaintenanceInput input, std::uint64_t applied = 0) {
    Decision decision = next();
    add_step(decision, node, input);
    decision.set_applied(applied);
    return state.apply(decision);
  }
  ApplyResult apply_release(agreement::ReleaseInput input) {
    Decision decision = next();
    decision.mutable_release()->set_input(input);
    return state.apply(decision);
  }
  void publish_without(const std::string& node) {
    Decision decision = next();
    decision.mutable_picture()->set_number(state.published() + 1);
    decision.mutable_picture()->add_nodes()->set_name(node);
    ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
  }
  void grant_drain_and_order_restart(const std::string& node) {
    ASSERT_EQ(grant(node), ApplyResult::kApplied);
    publish_without(node);
    ASSERT_EQ(apply_step(node, agreement::MAINTENANCE_DRAINED, state.published()), ApplyResult::kApplied);
    ASSERT_EQ(apply_step(node, agreement::MAINTENANCE_RESTART), ApplyResult::kApplied);
  }
  void restart(const std::string& node, std::uint32_t version, const char* in_state = "ramping") {
    Decision decision = next();
    routing_state::PersistedNode& restarted = *decision.add_nodes();
    restarted.set_name(node);
    restarted.set_state(in_state);
    restarted.set_life(8);
    restarted.set_version(version);
    ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
  }
  const agreement::MaintenanceLease* lease(const std::string& node) const {
    return state.maintenance().lease(node);
  }
  ReplicatedState state;
};

TEST_F(MaintenanceRulesTest, GrantBeyondTheBudgetIsRejected) {
  EXPECT_EQ(grant("n1"), ApplyResult::kApplied);
  EXPECT_EQ(grant("n1"), ApplyResult::kInvalidMaintenance) << "it has a lease already";
  EXPECT_EQ(grant("n2"), ApplyResult::kApplied);
  EXPECT_EQ(grant("n3"), ApplyResult::kInvalidMaintenance);
  EXPECT_EQ(state.maintenance().leases().size(), 2u);
}

TEST_F(MaintenanceRulesTest, FailedServerUsesUpTheBudget) {
  Decision failed = next();
  routing_state::PersistedNode& node = *failed.add_nodes();
  node.set_name("n4");
  node.set_state("silent");
  ASSERT_EQ(state.apply(failed), ApplyResult::kApplied);
  EXPECT_EQ(grant("n1"), ApplyResult::kApplied);
  EXPECT_EQ(grant("n2"), ApplyResult::kInvalidMaintenance);
}

TEST_F(MaintenanceRulesTest, GrantUnderABudgetOfZeroIsRejected) {
  Decision none = next();
  *none.mutable_budgets() = budgets_of(fleet_of(4, {.by_count = true, .max = 0}));
  ASSERT_EQ(state.apply(none), ApplyResult::kApplied);
  EXPECT_EQ(grant("n1"), ApplyResult::kInvalidMaintenance);
}

TEST_F(MaintenanceRulesTest, ServerIsDrainedOnceNoProxyRoutesToIt) {
  ASSERT_EQ(grant("n1"), ApplyResult::kApplied);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_DRAINED, 99), ApplyResult::kInvalidMaintenance)
      << "no snapshot without it is published yet";
  publish_without("n1");
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_DRAINED, state.published() - 1),
            ApplyResult::kInvalidMaintenance);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTART), ApplyResult::kInvalidMaintenance)
      << "it is not drained yet";
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_DRAINED, state.published()), ApplyResult::kApplied);
  EXPECT_EQ(lease("n1")->phase, MaintenancePhase::kDrained);
}

TEST_F(MaintenanceRulesTest, ServerIsBackOnlyAsNewIncarnationInTheTargetVersion) {
  grant_drain_and_order_restart("n1");
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTARTED), ApplyResult::kInvalidMaintenance)
      << "the same incarnation";
  restart("n1", 1);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTARTED), ApplyResult::kInvalidMaintenance)
      << "the old version";
  restart("n1", 2);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTARTED), ApplyResult::kApplied);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_COMPLETE), ApplyResult::kInvalidMaintenance)
      << "it is in slow start";
  restart("n1", 2, "serving");
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_COMPLETE), ApplyResult::kApplied);
  EXPECT_EQ(lease("n1"), nullptr);
}

TEST_F(MaintenanceRulesTest, LeaseExpiresWhenNobodyEndsIt) {
  ASSERT_EQ(grant("n1", 500 * kMs), ApplyResult::kApplied);
  ASSERT_EQ(state.apply(next(499 * kMs)), ApplyResult::kApplied);
  EXPECT_NE(lease("n1"), nullptr);
  ASSERT_EQ(state.apply(next(kMs)), ApplyResult::kApplied);
  EXPECT_EQ(lease("n1"), nullptr);
  EXPECT_EQ(state.maintenance().updated_server("n1")->failed(), "its permit ran out");
}

TEST_F(MaintenanceRulesTest, HaltCancelsOrderedAndDrainingServersAtOnce) {
  grant_drain_and_order_restart("n1");
  ASSERT_EQ(grant("n2"), ApplyResult::kApplied);
  fencing::Epoch before = state.assignments_epoch();
  ASSERT_EQ(apply_release(agreement::RELEASE_HALT), ApplyResult::kApplied);
  EXPECT_EQ(lease("n1")->phase, MaintenancePhase::kCancelling);
  EXPECT_EQ(lease("n2")->phase, MaintenancePhase::kCancelling);
  EXPECT_GT(state.assignments_epoch(), before) << "servers need a newer order that cancels the restart";
  EXPECT_EQ(grant("n3"), ApplyResult::kInvalidMaintenance);
  // It restarted before the cancellation reached it.
  restart("n1", 2);
  EXPECT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTARTED), ApplyResult::kApplied);
  EXPECT_EQ(lease("n1")->phase, MaintenancePhase::kSlowStart);
}

TEST_F(MaintenanceRulesTest, RollbackIsGrantedOnlyToUpdatedServersAndTheirFormerVersion) {
  grant_drain_and_order_restart("n1");
  restart("n1", 2, "serving");
  ASSERT_EQ(apply_step("n1", agreement::MAINTENANCE_RESTARTED), ApplyResult::kApplied);
  ASSERT_EQ(apply_step("n1", agreement::MAINTENANCE_COMPLETE), ApplyResult::kApplied);
  ASSERT_EQ(apply_release(agreement::RELEASE_ROLL_BACK), ApplyResult::kApplied);
  for (auto [node, version, accepted] : {std::tuple("n2", 1u, false), {"n1", 3u, false}, {"n1", 1u, true}}) {
    Decision decision = next();
    agreement::MaintenanceStep& step = add_step(decision, node, agreement::MAINTENANCE_GRANT);
    step.set_why(agreement::REASON_ROLLBACK);
    step.set_version(version);
    step.set_for_ns(kSecond);
    EXPECT_EQ(state.apply(decision) == ApplyResult::kApplied, accepted) << node << " to " << version;
  }
}

TEST_F(MaintenanceRulesTest, SecondReleaseIsRejectedWhileOneIsUnderWay) {
  EXPECT_EQ(apply_release(agreement::RELEASE_START), ApplyResult::kInvalidMaintenance);
  EXPECT_EQ(apply_release(agreement::RELEASE_RESUME), ApplyResult::kInvalidMaintenance) << "it is not halted";
}

TEST_F(MaintenanceRulesTest, ImageRestoresLeasesDrainsAndResults) {
  grant_drain_and_order_restart("n1");
  Decision decision = next();
  decision.add_drains()->set_node("n3");
  decision.mutable_drains(0)->set_wanted(true);
  decision.add_results()->set_id(5);
  ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
  ReplicatedState other;
  ASSERT_TRUE(other.restore(state.image()));
  EXPECT_EQ(other.digest(), state.digest());
  EXPECT_EQ(other.maintenance().lease("n1")->phase, MaintenancePhase::kRestarting);
}

TEST_F(MaintenanceRulesTest, OlderFormatRejectsMaintenanceAndCannotRestoreIt) {
  Decision older = next();
  older.set_format(1);
  add_step(older, "n1", agreement::MAINTENANCE_GRANT);
  EXPECT_EQ(state.apply(older), ApplyResult::kInvalidMaintenance);
  ReplicatedState older_replica(1);
  EXPECT_FALSE(older_replica.restore(state.image()));
  EXPECT_EQ(older_replica.apply(next()), ApplyResult::kUnknownFormat);
}

}  // namespace
}  // namespace myrtlecroft::releases
