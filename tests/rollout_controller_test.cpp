// Tests drains, releases, rollbacks and commands with one controller as the leader and a fleet of simulated
// servers.
#include "releases/rollout_controller.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "releases/rollout_plan.h"
#include "releases_fakes.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::releases {
namespace {

using agreement::ApplyResult;
using agreement::Decision;
using agreement::MaintenancePhase;
using agreement::ReplicatedState;

struct SimulatedServer {
  std::uint64_t incarnation = 1;
  std::uint32_t version = 1;
  std::uint64_t sequence = 0;
  std::uint64_t received = 0;
  std::uint64_t in_time = 0;
  bool alive = true;
  bool restarts_in_old_version = false;  // ignores the version of its lease
  bool stays_down = false;               // does not start again after a restart command
  Nanos back_at = 0;
  fencing::Epoch epoch;
};

struct RolloutControllerTest : testing::Test {
  explicit RolloutControllerTest(const fleet::Fleet& fleet = fleet_of(10))
      : router(fleet, std::nullopt, true, kSecond, [](const std::string&) {}),
        nodes(fleet.nodes.size()),
        rollout_controller([this](const std::string& line) { log.push_back(line); }) {}

  // Simulates `duration` at ten ticks per second.
  void run(Nanos duration) {
    for (Nanos until = now + duration; now < until; now += 100 * kMs) tick();
  }
  void tick() {
    for (std::size_t i = 0; i < nodes.size(); ++i) simulate_server(i);
    router.set_out_for_maintenance(state.maintenance().out_for_maintenance());
    Decision decision = routing_decision();
    std::uint64_t applied = state.published();
    decision.set_applied(applied);
    agreement::DecisionContributor::View view{
        state, router, commands, applied, state.time() + decision.elapsed_ns(), now};
    rollout_controller.observe(view);
    if (!reports_are_lost) rollout_controller.append_steps(view, decision);
    ASSERT_EQ(state.apply(decision), ApplyResult::kApplied);
    std::erase_if(commands, [&](const auto& command) {
      const agreement::CommandResult* result = state.maintenance().result(command.first);
      if (result) answer = result->said();
      return result != nullptr;
    });
    max_leases = std::max(max_leases, state.maintenance().leases().size());
  }
  // Returns the next decision with routing's part: the servers' states, and the snapshot if it changed.
  Decision routing_decision() {
    auto next = router.step(now);
    Decision decision;
    decision.set_format(agreement::kEntryFormat);
    decision.set_term(1);
    decision.set_basis(state.epoch().number);
    decision.set_elapsed_ns(state.epoch().number > 0 ? 100 * kMs : 0);
    for (const routing::ServerStatus& server : router.registry().all()) {
      routing_state::PersistedNode& node = *decision.add_nodes();
      node.set_name(server.node.name);
      node.set_state(routing_state::stored_name(server.state));
      node.set_life(server.incarnation);
      node.set_version(server.version);
    }
    if (!next) return decision;
    decision.mutable_picture()->set_number(state.published() + 1);
    for (const routing::NodeRoute& node : next->snapshot.nodes) {
      decision.mutable_picture()->add_nodes()->set_name(node.name);
      decision.mutable_picture()->mutable_nodes()->rbegin()->set_weight(node.weight);
    }
    return decision;
  }
  void simulate_server(std::size_t index) {
    SimulatedServer& node = nodes[index];
    std::string name = "n" + std::to_string(index + 1);
    const agreement::MaintenanceLease* lease = state.maintenance().lease(name);
    if (!assignments_are_lost) node.epoch = state.assignments_epoch();
    if (!assignments_are_lost && node.alive && lease && lease->phase == MaintenancePhase::kRestarting &&
        lease->incarnation == node.incarnation) {
      node.alive = false;
      node.back_at = now + 500 * kMs;
      if (!node.restarts_in_old_version) node.version = lease->version;
    }
    if (!node.alive && !node.stays_down && now >= node.back_at) {
      node.alive = true;
      ++node.incarnation;
      node.sequence = node.received = node.in_time = 0;
    }
    if (!node.alive || reports_are_lost) return;
    node.received += 10;
    node.in_time += late_version == node.version ? 2 : service_is_slow ? 3 : 10;
    report::LoadReport report;
    report.node = name;
    report.address = "127.0.0.1:" + std::to_string(4101 + index);
    report.incarnation = node.incarnation;
    report.sequence = ++node.sequence;
    report.engine_up = report.accepts_assignments = true;
    report.epoch = node.epoch;
    report.version = static_cast<std::uint8_t>(node.version);
    report.window = 20;
    report.limit = 4;
    report.request_classes.push_back({"read", node.received, 0, node.received, node.in_time, 0});
    router.handle_report_connection(name, true, now);
    router.handle_report(report, now, now);
  }
  void command(const std::string& text) { commands[++last_command] = text; }
  void start(std::uint32_t version, agreement::Plan plan = plan_of(0)) {
    plan.set_version(version);
    command(release_start_command(plan));
  }
  const agreement::Release& release() const { return state.maintenance().release(); }
  int servers_in_version(std::uint32_t version) const {
    return static_cast<int>(std::count_if(
        nodes.begin(), nodes.end(), [&](const SimulatedServer& node) { return node.version == version; }));
  }

  Nanos now = 2 * kSecond;
  routing::Router router;
  ReplicatedState state;
  std::vector<SimulatedServer> nodes;
  std::vector<std::string> log;
  RolloutController rollout_controller;
  std::map<std::uint64_t, std::string> commands;
  std::uint64_t last_command = 0;
  std::string answer;
  std::size_t max_leases = 0;
  std::uint32_t late_version = 0;
  bool service_is_slow = false;
  bool reports_are_lost = false;
  bool assignments_are_lost = false;  // servers receive neither epochs nor restart commands
};

TEST_F(RolloutControllerTest, HealthyVersionReachesAllServersWithinTheBudget) {
  run(2 * kSecond);
  start(2);
  run(60 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_DONE)
      << release().reason() << rollout_controller.status_detail();
  EXPECT_EQ(servers_in_version(2), 10);
  EXPECT_EQ(max_leases, 2u);
}

struct LargeRolloutControllerTest : RolloutControllerTest {
  LargeRolloutControllerTest() : RolloutControllerTest(fleet_of(60, {.by_count = true, .max = 4})) {}
};

TEST_F(LargeRolloutControllerTest, FailingVersionIsRolledBackAfterItsFirstWave) {
  late_version = 2;
  agreement::Plan plan = plan_of(2);
  plan.set_first_nodes(4);
  run(2 * kSecond);
  start(2, plan);
  run(40 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_ROLLED_BACK)
      << release().reason() << rollout_controller.status_detail();
  EXPECT_EQ(servers_in_version(1), 60);
  EXPECT_EQ(release().taken_size(), 4);
}

TEST_F(RolloutControllerTest, InconclusiveAnalysisOfTenServersHalts) {
  late_version = 2;
  run(2 * kSecond);
  start(2);
  run(40 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_NE(release().reason().find("inconclusive"), std::string::npos) << release().reason();
  EXPECT_EQ(servers_in_version(2), 2);
}

TEST_F(RolloutControllerTest, ReleaseStopsWhenAServerRestartsInAnotherVersionOrStaysDown) {
  nodes[0].restarts_in_old_version = true;
  run(2 * kSecond);
  start(2);
  run(20 * kSecond);
  EXPECT_NE(release().reason().find("another version"), std::string::npos) << release().reason();
  nodes[0].restarts_in_old_version = false;
  for (SimulatedServer& node : nodes) node.stays_down = node.version == 1;
  run(20 * kSecond);
  start(3);
  run(20 * kSecond);
  EXPECT_NE(release().reason().find("did not come back"), std::string::npos) << release().reason();
}

TEST_F(RolloutControllerTest, SlowServiceOfUnchangedServersHaltsTheRelease) {
  fleet::Fleet fleet = fleet_of(10);
  fleet.services.resize(1);
  for (const fleet::Node& node : fleet.nodes) fleet.services[0].used_by.push_back(node.name);
  fleet.services[0].name = "ledger";
  fleet.services[0].max_unavailable = {.by_count = true, .max = 2};
  router.update_fleet(fleet, now);
  run(5 * kSecond);
  start(2);
  run(kSecond);
  service_is_slow = true;
  run(8 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_NE(release().reason().find("service ledger"), std::string::npos) << release().reason();
}

TEST_F(RolloutControllerTest, NothingIsTakenOutWhileNoServerReports) {
  run(2 * kSecond);
  start(2);
  run(400 * kMs);
  std::size_t out = state.maintenance().leases().size();
  EXPECT_GT(out, 0u);
  reports_are_lost = true;
  run(10 * kSecond);
  EXPECT_LE(state.maintenance().leases().size(), out);
  EXPECT_TRUE(
      std::all_of(nodes.begin(), nodes.end(), [](const SimulatedServer& node) { return node.alive; }));
  reports_are_lost = false;
  run(5 * kSecond);
  EXPECT_NE(release().phase(), agreement::PHASE_NONE);
}

TEST_F(RolloutControllerTest, DrainedServersStayWithinTheBudgetUntilUndrained) {
  run(2 * kSecond);
  command("drain a");
  run(3 * kSecond);
  EXPECT_NE(answer.find("as soon as the budgets allow"), std::string::npos) << answer;
  EXPECT_EQ(state.maintenance().leases().size(), 2u);
  EXPECT_EQ(state.maintenance().leases().begin()->second.phase, MaintenancePhase::kDrained);
  run(30 * kSecond);
  EXPECT_EQ(state.maintenance().leases().size(), 2u) << "the leases are extended";
  command("undrain a");
  run(3 * kSecond);
  EXPECT_TRUE(state.maintenance().leases().empty());
  command("drain nowhere");
  run(kSecond);
  EXPECT_EQ(answer.rfind("refused", 0), 0u);
}

TEST_F(RolloutControllerTest, EachReleaseCommandChangesThePhaseOrIsRejected) {
  run(2 * kSecond);
  start(2);
  run(kSecond);
  start(3);
  run(kSecond);
  EXPECT_NE(answer.find("refused: release 1 'winter' is rolling"), std::string::npos) << answer;
  command("release halt for lunch");
  run(kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_EQ(release().reason(), "by operator: for lunch");
  command("release resume");
  run(kSecond);
  EXPECT_NE(release().phase(), agreement::PHASE_HALTED);
  command("release back");
  run(20 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_ROLLED_BACK);
  EXPECT_EQ(servers_in_version(1), 10);
}

// A restart command may still be in transit when the halt is agreed, while the server reports that it serves.
TEST_F(RolloutControllerTest, CancelledServerKeepsItsLeaseUntilItActsOnTheCancellation) {
  run(2 * kSecond);
  start(2);
  while (state.maintenance().leases().empty() ||
         state.maintenance().leases().begin()->second.phase != MaintenancePhase::kRestarting) {
    tick();
    now += 100 * kMs;
  }
  // The halt is agreed before the servers receive the restart command.
  assignments_are_lost = true;
  command("release halt");
  run(kSecond);
  EXPECT_FALSE(state.maintenance().leases().empty()) << "the server may still restart";
  assignments_are_lost = false;
  run(kSecond);
  EXPECT_TRUE(state.maintenance().leases().empty());
}

// Replaces the controller every 700 ms while the agreed state stays, as after the loss of a leader.
TEST_F(RolloutControllerTest, ReleaseContinuesUnderNewLeaders) {
  run(2 * kSecond);
  start(2);
  for (int moment = 0; moment < 30; ++moment) {
    run(700 * kMs);
    rollout_controller = RolloutController([](const std::string&) {});
  }
  run(60 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_DONE) << release().reason();
  EXPECT_EQ(release().id(), 1u);
  EXPECT_EQ(max_leases, 2u);
}

}  // namespace
}  // namespace myrtlecroft::releases
