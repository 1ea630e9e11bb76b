// Who may be out, drains and releases: the agreed rules, what may be out, the judge, and a fleet of fakes
// that one instance leads.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <random>

#include "releases/rollout_plan.h"
#include "releases/rollout_controller.h"
#include "settings/document.h"

namespace myrtlecroft::releases {
namespace {

using agreement::Decision;
using agreement::MaintenanceInput;
using agreement::MaintenancePhase;
using agreement::ReplicatedState;
using agreement::Verdict;

fleet::Fleet fleet_of(int nodes, fleet::MaxUnavailable max_unavailable = {.by_count = true, .max = 2}) {
  fleet::Fleet out;
  out.listener = "fleet";
  for (int i = 1; i <= nodes; ++i) {
    out.nodes.push_back({.name = "n" + std::to_string(i),
                         .zone = i % 2 ? "a" : "b",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(4100 + i)});
  }
  out.request_classes.push_back(
      {.name = "read", .path = "/read", .latency_objective = 500 * kMs, .client_timeout = 500 * kMs});
  out.outings.max_unavailable = max_unavailable;
  out.outings.permit_lasts = 20 * kSecond;
  out.bounds.dwell = out.bounds.ramp = 0;
  return out;
}

agreement::Plan plan_of(std::uint32_t version) {
  agreement::Plan out;
  out.set_name("winter");
  out.set_version(version);
  out.set_first_nodes(2);
  out.add_waves(500);
  out.add_waves(1000);
  out.set_soak_ns(2 * kSecond);
  out.set_longest_soak_ns(10 * kSecond);
  out.set_empty_within_ns(3 * kSecond);
  out.set_back_within_ns(4 * kSecond);
  out.set_warm_within_ns(5 * kSecond);
  out.set_way_back(true);
  out.set_least_exchanges(5);
  out.set_worse_by(50);
  out.set_good_within(200);
  out.set_slower_by(300);
  out.set_false_halts(20);
  out.set_false_goods(50);
  out.set_alarm(300);
  out.set_alarm_for_ns(kSecond);
  return out;
}

// ---- What is agreed, by its own rules

struct RulesStory : testing::Test {
  RulesStory() {
    Decision begin = next();
    *begin.mutable_budgets() = budgets_of(fleet_of(4));
    for (int i = 1; i <= 4; ++i) {
      routing_state::NodeMemory& node = *begin.add_nodes();
      node.set_name("n" + std::to_string(i));
      node.set_state("serving");
      node.set_life(7);
      node.set_version(1);
    }
    EXPECT_EQ(state.apply(begin), Verdict::kTaken);
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
  static agreement::MaintenanceStep& step(Decision& to, const std::string& node, MaintenanceInput input) {
    agreement::MaintenanceStep& out = *to.add_trips();
    out.set_node(node);
    out.set_input(input);
    return out;
  }
  Verdict grant(const std::string& node, Nanos lasts = 10 * kSecond) {
    Decision decision = next();
    agreement::MaintenanceStep& one = step(decision, node, agreement::TRIP_GRANT);
    one.set_why(agreement::WHY_RELEASE);
    one.set_version(2);
    one.set_for_ns(lasts);
    return state.apply(decision);
  }
  Verdict take(const std::string& node, MaintenanceInput input, std::uint64_t applied = 0) {
    Decision decision = next();
    step(decision, node, input);
    decision.set_applied(applied);
    return state.apply(decision);
  }
  Verdict say(agreement::ReleaseInput input) {
    Decision decision = next();
    decision.mutable_release()->set_input(input);
    return state.apply(decision);
  }
  void show_out(const std::string& node) {
    Decision decision = next();
    decision.mutable_picture()->set_number(state.published() + 1);
    decision.mutable_picture()->add_nodes()->set_name(node);
    ASSERT_EQ(state.apply(decision), Verdict::kTaken);
  }
  void order(const std::string& node) {
    ASSERT_EQ(grant(node), Verdict::kTaken);
    show_out(node);
    ASSERT_EQ(take(node, agreement::TRIP_EMPTIED, state.published()), Verdict::kTaken);
    ASSERT_EQ(take(node, agreement::TRIP_ORDER), Verdict::kTaken);
  }
  void comes_back(const std::string& node, std::uint32_t version, const char* as = "ramping") {
    Decision decision = next();
    routing_state::NodeMemory& memory = *decision.add_nodes();
    memory.set_name(node);
    memory.set_state(as);
    memory.set_life(8);
    memory.set_version(version);
    ASSERT_EQ(state.apply(decision), Verdict::kTaken);
  }
  const agreement::MaintenanceLease* trip(const std::string& node) const {
    return state.outings().lease(node);
  }
  ReplicatedState state;
};

TEST_F(RulesStory, NoMoreAreOutThanTheBudgetsAllow) {
  EXPECT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kOutings) << "not twice";
  EXPECT_EQ(grant("n2"), Verdict::kTaken);
  EXPECT_EQ(grant("n3"), Verdict::kOutings);
  EXPECT_EQ(state.outings().leases().size(), 2u);
}

TEST_F(RulesStory, WhatHasFailedUsesUpTheSameBudget) {
  Decision failed = next();
  routing_state::NodeMemory& node = *failed.add_nodes();
  node.set_name("n4");
  node.set_state("silent");
  ASSERT_EQ(state.apply(failed), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(grant("n2"), Verdict::kOutings);
}

TEST_F(RulesStory, WhereNothingMayBeOutNothingGoes) {
  Decision none = next();
  *none.mutable_budgets() = budgets_of(fleet_of(4, {.by_count = true, .max = 0}));
  ASSERT_EQ(state.apply(none), Verdict::kTaken);
  EXPECT_EQ(grant("n1"), Verdict::kOutings);
}

TEST_F(RulesStory, ANodeIsEmptyOnlyOnceNoProxySendsToIt) {
  ASSERT_EQ(grant("n1"), Verdict::kTaken);
  EXPECT_EQ(take("n1", agreement::TRIP_EMPTIED, 99), Verdict::kOutings) << "not shown out yet";
  show_out("n1");
  EXPECT_EQ(take("n1", agreement::TRIP_EMPTIED, state.published() - 1), Verdict::kOutings);
  EXPECT_EQ(take("n1", agreement::TRIP_ORDER), Verdict::kOutings) << "not before it is empty";
  EXPECT_EQ(take("n1", agreement::TRIP_EMPTIED, state.published()), Verdict::kTaken);
  EXPECT_EQ(trip("n1")->place, MaintenancePhase::kEmpty);
}

TEST_F(RulesStory, BackAsAnotherLifeInTheRightVersionOnly) {
  order("n1");
  EXPECT_EQ(take("n1", agreement::TRIP_CAME_BACK), Verdict::kOutings) << "the same life";
  comes_back("n1", 1);
  EXPECT_EQ(take("n1", agreement::TRIP_CAME_BACK), Verdict::kOutings) << "the old version";
  comes_back("n1", 2);
  EXPECT_EQ(take("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  EXPECT_EQ(take("n1", agreement::TRIP_WARM), Verdict::kOutings) << "it ramps";
  comes_back("n1", 2, "serving");
  EXPECT_EQ(take("n1", agreement::TRIP_WARM), Verdict::kTaken);
  EXPECT_EQ(trip("n1"), nullptr);
}

TEST_F(RulesStory, APermitRunsOutWhoeverForgetsIt) {
  ASSERT_EQ(grant("n1", 500 * kMs), Verdict::kTaken);
  ASSERT_EQ(state.apply(next(499 * kMs)), Verdict::kTaken);
  EXPECT_NE(trip("n1"), nullptr);
  ASSERT_EQ(state.apply(next(kMs)), Verdict::kTaken);
  EXPECT_EQ(trip("n1"), nullptr);
  EXPECT_EQ(state.outings().taken("n1")->failed(), "its permit ran out");
}

TEST_F(RulesStory, AHaltIsInForceAtOnceAlsoForThoseThatHaveTheirOrder) {
  order("n1");
  ASSERT_EQ(grant("n2"), Verdict::kTaken);
  fencing::Epoch before = state.owners_epoch();
  ASSERT_EQ(say(agreement::RELEASE_HALT), Verdict::kTaken);
  EXPECT_EQ(trip("n1")->place, MaintenancePhase::kReturning);
  EXPECT_EQ(trip("n2")->place, MaintenancePhase::kReturning);
  EXPECT_GT(state.owners_epoch(), before) << "a newer order says that it may stay";
  EXPECT_EQ(grant("n3"), Verdict::kOutings);
  // It had gone all the same.
  comes_back("n1", 2);
  EXPECT_EQ(take("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  EXPECT_EQ(trip("n1")->place, MaintenancePhase::kWarming);
}

TEST_F(RulesStory, OnlyWhatWasTakenGoesBackAndToWhatItHad) {
  order("n1");
  comes_back("n1", 2, "serving");
  ASSERT_EQ(take("n1", agreement::TRIP_CAME_BACK), Verdict::kTaken);
  ASSERT_EQ(take("n1", agreement::TRIP_WARM), Verdict::kTaken);
  ASSERT_EQ(say(agreement::RELEASE_GO_BACK), Verdict::kTaken);
  for (auto [node, version, taken] : {std::tuple("n2", 1u, false), {"n1", 3u, false}, {"n1", 1u, true}}) {
    Decision decision = next();
    agreement::MaintenanceStep& one = step(decision, node, agreement::TRIP_GRANT);
    one.set_why(agreement::WHY_BACK);
    one.set_version(version);
    one.set_for_ns(kSecond);
    EXPECT_EQ(state.apply(decision) == Verdict::kTaken, taken) << node << " to " << version;
  }
}

TEST_F(RulesStory, ASecondReleaseBesideOneIsRefused) {
  EXPECT_EQ(say(agreement::RELEASE_START), Verdict::kOutings);
  EXPECT_EQ(say(agreement::RELEASE_RESUME), Verdict::kOutings) << "it is not halted";
}

TEST_F(RulesStory, AnImageHoldsAllOfIt) {
  order("n1");
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

TEST_F(RulesStory, AnInstanceThatHoldsAnOlderFormKnowsNoneOfIt) {
  Decision older = next();
  older.set_format(1);
  step(older, "n1", agreement::TRIP_GRANT);
  EXPECT_EQ(state.apply(older), Verdict::kOutings);
  ReplicatedState held(1);
  EXPECT_FALSE(held.restore(state.image()));
  EXPECT_EQ(held.apply(next()), Verdict::kNewer);
}

// ---- What may be out at the load of the moment

routing::ServerStatus member_of(const fleet::Node& node, double asked = 1, double limit = 4) {
  routing::ServerStatus out{.node = node, .state = routing::ServerState::kServing};
  out.heard_at = kSecond;
  out.incarnation = 1;
  out.version = 1;
  out.report.node = node.name;
  out.report.incarnation = 1;
  out.report.limit = limit;
  out.report.obeys = true;
  out.asked.add(asked, kSecond);
  out.reports.add(1, kSecond);
  return out;
}

TEST(RoomStory, EachPartOfTheFleetHasABudgetOfItsOwn) {
  fleet::Fleet fleet = fleet_of(6, {.by_count = true, .max = 4});
  fleet.outings.zone_max_unavailable = {.by_count = false, .max = 0.34};
  fleet.services.push_back(
      {.name = "ledger", .used_by = {"n1", "n2", "n4"}, .max_unavailable = {.by_count = true, .max = 1}});
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(member_of(node));
  DisruptionBudget room(fleet, servers, {});
  EXPECT_EQ(room.refusal("n1", 0.1), "");
  room.take("n1");
  EXPECT_NE(room.refusal("n3", 0.1).find("zone a"), std::string::npos);
  EXPECT_NE(room.refusal("n2", 0.1).find("service ledger"), std::string::npos);
  EXPECT_EQ(room.refusal("n6", 0.1), "");
}

TEST(RoomStory, WhatStaysMustCarryWhatIsAskedNow) {
  fleet::Fleet fleet = fleet_of(4);
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(member_of(node, 2.6, 4));
  EXPECT_EQ(DisruptionBudget(fleet, servers, {}).refusal("n1", 0.1), "") << "10.4 of 12, a tenth to spare";
  EXPECT_NE(DisruptionBudget(fleet, servers, {}).refusal("n1", 0.2).find("load"), std::string::npos);
}

TEST(RoomStory, WhatIsOutForItsHealthTakesNothingMore) {
  fleet::Fleet fleet = fleet_of(4, {.by_count = true, .max = 1});
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(member_of(node));
  servers[2].state = routing::ServerState::kUnresponsive;
  DisruptionBudget room(fleet, servers, {});
  EXPECT_EQ(room.refusal("n3", 0.1), "");
  EXPECT_NE(room.refusal("n1", 0.1), "");
  servers[1].state = routing::ServerState::kSlowStart;
  EXPECT_NE(DisruptionBudget(fleet, servers, {}).refusal("n2", 0.1), "")
      << "on its way back beside one that is out";
}

// ---- The judge

TEST(JudgeStory, TheChanceIsThatOfTheDraw) {
  EXPECT_NEAR(chance_of(3, 3, 97), 1.0 / 161'700, 1e-12);
  EXPECT_NEAR(chance_of(1, 1, 9), 0.1, 1e-12);
  EXPECT_EQ(chance_of(0, 3, 97), 1);
  EXPECT_EQ(chance_of(5, 6, 1), 1) << "so many must be among them";
  // Whatever can be asked has an answer: in a control service nothing may throw here.
  for (unsigned all = 1; all <= 8; ++all) {
    for (unsigned drawn = 0; drawn <= all; ++drawn) {
      for (unsigned marked = 0; marked <= all; ++marked) {
        for (unsigned seen = 0; seen <= all + 1; ++seen) {
          double chance = chance_of_marked(seen, drawn, marked, all);
          EXPECT_GE(chance, 0);
          EXPECT_LE(chance, 1 + 1e-9);
        }
      }
    }
  }
}

struct JudgeWorld {
  explicit JudgeWorld(int nodes, int fresh_count, unsigned seed = 1) : fleet(fleet_of(nodes)), random(seed) {
    for (const fleet::Node& node : fleet.nodes) {
      servers.push_back(member_of(node));
      bool is_fresh = static_cast<int>(servers.size()) <= fresh_count;
      (is_fresh ? fresh : others).insert(node.name);
      servers.back().report.request_classes.push_back({"read", 0, 0, 0, 0, 0});
    }
    judge.begin(servers, kSecond);
  }
  // Requests at one server, of which so many are late.
  void serve(std::size_t at, int requests, double late, double work_ms = 10) {
    report::RequestClassCounts& counts = servers[at].report.request_classes[0];
    counts.read += static_cast<std::uint64_t>(requests);
    counts.completed += static_cast<std::uint64_t>(requests);
    auto not_in_time = std::binomial_distribution<int>(requests, late)(random);
    counts.in_time += static_cast<std::uint64_t>(requests - not_in_time);
    servers[at].report.core_time += static_cast<std::uint64_t>(work_ms * 1e6 * requests);
  }
  AnalysisResult look(unsigned looks = 32) {
    agreement::Plan plan = plan_of(2);
    plan.set_least_exchanges(20);
    return judge.look(plan, servers, fresh, others, looks, 10 * kSecond);
  }
  fleet::Fleet fleet;
  std::mt19937 random;
  std::vector<routing::ServerStatus> servers;
  std::set<std::string> fresh;
  std::set<std::string> others;
  CanaryAnalysis judge;
};

TEST(JudgeStory, AVersionThatIsLateEverywhereIsBadAndOneThatIsAlikeIsGood) {
  JudgeWorld bad(100, 3);
  JudgeWorld good(100, 3);
  for (std::size_t i = 0; i < 100; ++i) {
    bad.serve(i, 60, i < 3 ? 0.5 : 0.02);
    good.serve(i, 60, 0.02);
  }
  EXPECT_EQ(bad.look().verdict, releases::Verdict::kBad);
  EXPECT_EQ(good.look().verdict, releases::Verdict::kGood) << good.look().why;
}

TEST(JudgeStory, ANoisyNeighbourIsNoBadVersion) {
  JudgeWorld world(100, 3);
  for (std::size_t i = 0; i < 100; ++i) world.serve(i, 60, i == 1 ? 0.9 : 0.02);
  EXPECT_EQ(world.look().verdict, releases::Verdict::kGood) << world.look().why;
}

TEST(JudgeStory, TooFewExchangesAreNotKnownYetAndNeverGood) {
  JudgeWorld world(100, 3);
  for (std::size_t i = 0; i < 100; ++i) world.serve(i, i < 3 ? 19 : 60, 0);
  EXPECT_EQ(world.look().verdict, releases::Verdict::kNotKnown);
  JudgeWorld nobody(100, 3);
  EXPECT_EQ(nobody.look().verdict, releases::Verdict::kNotKnown);
}

TEST(JudgeStory, WorkThatCostsMoreIsBad) {
  JudgeWorld world(60, 4);
  for (std::size_t i = 0; i < 60; ++i)
    world.serve(i, 60, 0.02, i < 4 ? 20 : 10 + static_cast<double>(i % 5) / 10);
  AnalysisResult found = world.look();
  EXPECT_EQ(found.verdict, releases::Verdict::kBad);
  EXPECT_NE(found.why.find("core time"), std::string::npos);
}

TEST(JudgeStory, NodesThatFallOutOfServiceAreBad) {
  JudgeWorld world(100, 3);
  for (std::size_t i = 0; i < 3; ++i) world.servers[i].state = routing::ServerState::kUnresponsive;
  world.judge.watch(world.servers, 2 * kSecond);
  EXPECT_EQ(world.look().verdict, releases::Verdict::kBad);
}

// Over many fleets the rates of error are what the plan says.
TEST(JudgeStory, TheRatesOfErrorAreThoseOfThePlan) {
  int false_halts = 0;
  int false_goods = 0;
  constexpr unsigned kFleets = 400;
  for (unsigned seed = 1; seed <= kFleets; ++seed) {
    JudgeWorld same(40, 4, seed);
    JudgeWorld worse(40, 4, seed);
    for (std::size_t i = 0; i < 40; ++i) {
      double noise = std::uniform_real_distribution<>(0, 0.1)(same.random);
      same.serve(i, 60, noise);
      worse.serve(i, 60, i < 4 ? noise + 0.25 : noise);
    }
    false_halts += same.look(1).verdict == releases::Verdict::kBad;
    false_goods += worse.look(1).verdict == releases::Verdict::kGood;
  }
  EXPECT_LE(false_halts, kFleets * 2 / 100);
  EXPECT_LE(false_goods, kFleets * 5 / 100);
}

// ---- A plan's file

struct PlanFile : testing::Test {
  std::string path = testing::TempDir() + "plan.conf";
  void write(const std::string& text) const { std::ofstream(path) << text; }
  std::string fault() const {
    try {
      read_plan(path);
      return "";
    } catch (const settings::DocumentError& error) {
      return error.what();
    }
  }
};

TEST_F(PlanFile, IsReadWithItsDefaults) {
  write("version = 1; name = \"winter\"; wanted = 7;");
  agreement::Plan plan = read_plan(path);
  EXPECT_EQ(plan.version(), 7u);
  EXPECT_EQ(wave_count(plan), 5u);
  EXPECT_EQ(plan.longest_soak_ns(), 10 * plan.soak_ns());
}

TEST_F(PlanFile, IsRefusedWithLineAndField) {
  write("version = 1;\nname = \"winter\";\nwanted = 100;");
  EXPECT_NE(fault().find(":3: wanted"), std::string::npos) << fault();
  write("version = 1; name = \"w\"; wanted = 2; waves = ({ share = 0.5; }, { share = 0.4; });");
  EXPECT_NE(fault().find("not above"), std::string::npos) << fault();
  write("version = 1; name = \"w\"; wanted = 2; waves = ({ share = 0.5; });");
  EXPECT_NE(fault().find("end with a share of 1"), std::string::npos) << fault();
}

// ---- One instance that decides, and a fleet of fakes

struct FakeNode {
  std::uint64_t incarnation = 1;
  std::uint32_t version = 1;
  std::uint64_t sequence = 0;
  std::uint64_t reads = 0;
  std::uint64_t in_time = 0;
  bool alive = true;
  bool wrong = false;  // comes back in the version that it had
  bool never = false;  // does not come back
  Nanos back_at = 0;
  fencing::Epoch epoch;
};

struct FleetStory : testing::Test {
  explicit FleetStory(fleet::Fleet of = fleet_of(10))
      : router(of, std::nullopt, true, kSecond, [](const std::string&) {}),
        nodes(of.nodes.size()),
        rollout_controller([this](const std::string& line) { log.push_back(line); }) {}

  // Decides, agrees, obeys and reports ten times a second.
  void run(Nanos how_long) {
    for (Nanos until = now + how_long; now < until; now += 100 * kMs) beat();
  }
  void beat() {
    for (std::size_t i = 0; i < nodes.size(); ++i) live(i);
    router.call_out(state.outings().called_out());
    auto next = router.step(now);
    Decision decision;
    decision.set_format(agreement::kFormat);
    decision.set_term(1);
    decision.set_basis(state.epoch().number);
    decision.set_elapsed_ns(state.epoch().number > 0 ? 100 * kMs : 0);
    for (const routing::ServerStatus& server : router.registry().all()) {
      routing_state::NodeMemory& node = *decision.add_nodes();
      node.set_name(server.node.name);
      node.set_state(routing::name_of(server.state));
      node.set_life(server.incarnation);
      node.set_version(server.version);
    }
    if (next) {
      decision.mutable_picture()->set_number(state.published() + 1);
      for (const routing::NodeRoute& node : next->snapshot.nodes) {
        decision.mutable_picture()->add_nodes()->set_name(node.name);
        decision.mutable_picture()->mutable_nodes()->rbegin()->set_weight(node.weight);
      }
    }
    std::uint64_t applied = state.published();
    decision.set_applied(applied);
    agreement::DecisionSection::View view{
        state, router, commands, applied, state.time() + decision.elapsed_ns(), now};
    rollout_controller.watch(view);
    if (!cut_off) rollout_controller.draft(view, decision);
    ASSERT_EQ(state.apply(decision), Verdict::kTaken);
    std::erase_if(commands, [&](const auto& one) {
      const agreement::CommandResult* result = state.outings().result(one.first);
      if (result) said = result->said();
      return result != nullptr;
    });
    max_unavailable = std::max(max_unavailable, state.outings().leases().size());
  }
  void live(std::size_t at) {
    FakeNode& node = nodes[at];
    std::string name = "n" + std::to_string(at + 1);
    const agreement::MaintenanceLease* trip = state.outings().lease(name);
    if (!deaf) node.epoch = state.owners_epoch();
    if (!deaf && node.alive && trip && trip->place == MaintenancePhase::kOrdered &&
        trip->incarnation == node.incarnation) {
      node.alive = false;
      node.back_at = now + 500 * kMs;
      if (!node.wrong) node.version = trip->version;
    }
    if (!node.alive && !node.never && now >= node.back_at) {
      node.alive = true;
      ++node.incarnation;
      node.sequence = node.reads = node.in_time = 0;
    }
    if (!node.alive || cut_off) return;
    node.reads += 10;
    node.in_time += bad_version == node.version ? 2 : slow_below ? 3 : 10;
    report::LoadReport report;
    report.node = name;
    report.address = "127.0.0.1:" + std::to_string(4101 + at);
    report.incarnation = node.incarnation;
    report.sequence = ++node.sequence;
    report.engine_up = report.obeys = true;
    report.epoch = node.epoch;
    report.version = static_cast<std::uint8_t>(node.version);
    report.window = 20;
    report.limit = 4;
    report.request_classes.push_back({"read", node.reads, 0, node.reads, node.in_time, 0});
    router.report_link(name, true, now);
    router.reported(report, now, now);
  }
  void say(const std::string& text) { commands[++last_command] = text; }
  void start(std::uint32_t version, agreement::Plan plan = plan_of(0)) {
    plan.set_version(version);
    say(release_start_command(plan));
  }
  const agreement::Release& release() const { return state.outings().release(); }
  int with(std::uint32_t version) const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(),
                                          [&](const FakeNode& one) { return one.version == version; }));
  }

  Nanos now = 2 * kSecond;
  routing::Router router;
  ReplicatedState state;
  std::vector<FakeNode> nodes;
  std::vector<std::string> log;
  RolloutController rollout_controller;
  std::map<std::uint64_t, std::string> commands;
  std::uint64_t last_command = 0;
  std::string said;
  std::size_t max_unavailable = 0;
  std::uint32_t bad_version = 0;
  bool slow_below = false;
  bool cut_off = false;
  bool deaf = false;  // orders do not come through
};

TEST_F(FleetStory, AGoodVersionComesToAllNodesWithinTheBudget) {
  run(2 * kSecond);
  start(2);
  run(60 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_DONE) << release().reason() << rollout_controller.status_detail();
  EXPECT_EQ(with(2), 10);
  EXPECT_EQ(max_unavailable, 2u);
}

struct LargeFleetStory : FleetStory {
  LargeFleetStory() : FleetStory(fleet_of(60, {.by_count = true, .max = 4})) {}
};

TEST_F(LargeFleetStory, ABadVersionGoesBackByItselfBeforeItIsFar) {
  bad_version = 2;
  agreement::Plan plan = plan_of(2);
  plan.set_first_nodes(4);
  run(2 * kSecond);
  start(2, plan);
  run(40 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_TAKEN_BACK) << release().reason() << rollout_controller.status_detail();
  EXPECT_EQ(with(1), 60);
  EXPECT_EQ(release().taken_size(), 4);
}

TEST_F(FleetStory, WhatTenNodesCannotShowHaltsAsNotKnown) {
  bad_version = 2;
  run(2 * kSecond);
  start(2);
  run(40 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_NE(release().reason().find("not known"), std::string::npos) << release().reason();
  EXPECT_EQ(with(2), 2);
}

TEST_F(FleetStory, ANodeBackInTheWrongVersionOrNeverStopsTheRelease) {
  nodes[0].wrong = true;
  run(2 * kSecond);
  start(2);
  run(20 * kSecond);
  EXPECT_NE(release().reason().find("another version"), std::string::npos) << release().reason();
  nodes[0].wrong = false;
  for (FakeNode& node : nodes) node.never = node.version == 1;
  run(20 * kSecond);
  start(3);
  run(20 * kSecond);
  EXPECT_NE(release().reason().find("did not come back"), std::string::npos) << release().reason();
}

TEST_F(FleetStory, AServiceBelowThatSlowsAsTheWaveGoesHaltsIt) {
  fleet::Fleet fleet = fleet_of(10);
  for (const fleet::Node& node : fleet.nodes)
    fleet.services.resize(1), fleet.services[0].used_by.push_back(node.name);
  fleet.services[0].name = "ledger";
  fleet.services[0].max_unavailable = {.by_count = true, .max = 2};
  router.fleet_changed(fleet, now);
  run(5 * kSecond);
  start(2);
  run(kSecond);
  slow_below = true;
  run(8 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_NE(release().reason().find("service ledger"), std::string::npos) << release().reason();
}

TEST_F(FleetStory, CutOffFromTheNodesNothingMoreGoesAndThoseOutComeBack) {
  run(2 * kSecond);
  start(2);
  run(400 * kMs);
  std::size_t out = state.outings().leases().size();
  EXPECT_GT(out, 0u);
  cut_off = true;
  run(10 * kSecond);
  EXPECT_LE(state.outings().leases().size(), out);
  EXPECT_TRUE(std::all_of(nodes.begin(), nodes.end(), [](const FakeNode& one) { return one.alive; }));
  cut_off = false;
  run(5 * kSecond);
  EXPECT_NE(release().phase(), agreement::PHASE_NONE);
}

TEST_F(FleetStory, OperatorsDrainWithinTheBudgetAndLetBack) {
  run(2 * kSecond);
  say("drain a");
  run(3 * kSecond);
  EXPECT_NE(said.find("as soon as the budgets allow"), std::string::npos) << said;
  EXPECT_EQ(state.outings().leases().size(), 2u);
  EXPECT_EQ(state.outings().leases().begin()->second.place, MaintenancePhase::kEmpty);
  run(30 * kSecond);
  EXPECT_EQ(state.outings().leases().size(), 2u) << "the permit is drawn out";
  say("undrain a");
  run(3 * kSecond);
  EXPECT_TRUE(state.outings().leases().empty());
  say("drain nowhere");
  run(kSecond);
  EXPECT_EQ(said.rfind("refused", 0), 0u);
}

TEST_F(FleetStory, EachCommandHasAStatedAnswer) {
  run(2 * kSecond);
  start(2);
  run(kSecond);
  start(3);
  run(kSecond);
  EXPECT_NE(said.find("refused: release 1 'winter' is rolling"), std::string::npos) << said;
  say("release halt for lunch");
  run(kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_HALTED);
  EXPECT_EQ(release().reason(), "by hand: for lunch");
  say("release resume");
  run(kSecond);
  EXPECT_NE(release().phase(), agreement::PHASE_HALTED);
  say("release back");
  run(20 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_TAKEN_BACK);
  EXPECT_EQ(with(1), 10);
}

// Its order is on its way when the halt is agreed, and it looks as if it served on.
TEST_F(FleetStory, ANodeThatWasCalledBackIsNotCountedInBeforeItSaysThatItStays) {
  run(2 * kSecond);
  start(2);
  while (state.outings().leases().empty() ||
         state.outings().leases().begin()->second.place != MaintenancePhase::kOrdered)
    beat(), now += 100 * kMs;
  // The beat in which servers would have obeyed does not come: they are halted first.
  deaf = true;
  say("release halt");
  run(kSecond);
  EXPECT_FALSE(state.outings().leases().empty()) << "nobody knows whether it goes";
  deaf = false;
  run(kSecond);
  EXPECT_TRUE(state.outings().leases().empty());
}

// The same state under another conductor, as after a leader's death at any moment.
TEST_F(FleetStory, ANewLeaderGoesOnExactlyWhereItWas) {
  run(2 * kSecond);
  start(2);
  for (int moment = 0; moment < 30; ++moment) {
    run(700 * kMs);
    rollout_controller = RolloutController([](const std::string&) {});
  }
  run(60 * kSecond);
  EXPECT_EQ(release().phase(), agreement::PHASE_DONE) << release().reason();
  EXPECT_EQ(release().id(), 1u);
  EXPECT_EQ(max_unavailable, 2u);
}

}  // namespace
}  // namespace myrtlecroft::releases
