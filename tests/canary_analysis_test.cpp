// The verdicts of the canary analysis, its error rates, and the probabilities under them.
#include "releases/canary_analysis.h"

#include <gtest/gtest.h>

#include <random>

#include "releases_fakes.h"

namespace myrtlecroft::releases {
namespace {

TEST(RankStatisticsTest, ProbabilityIsHypergeometricAndDefinedForAllCounts) {
  EXPECT_NEAR(probability_by_chance({.found = 3, .canaries = 3, .baselines = 97}), 1.0 / 161'700, 1e-12);
  EXPECT_NEAR(probability_by_chance({.found = 1, .canaries = 1, .baselines = 9}), 0.1, 1e-12);
  EXPECT_EQ(probability_by_chance({.found = 0, .canaries = 3, .baselines = 97}), 1);
  EXPECT_EQ(probability_by_chance({.found = 5, .canaries = 6, .baselines = 1}), 1)
      << "five canaries must be among the first six of seven";
  // Every combination has an answer: nothing may throw here in a control service.
  for (unsigned all = 1; all <= 8; ++all) {
    for (unsigned drawn = 0; drawn <= all; ++drawn) {
      for (unsigned marked = 0; marked <= all; ++marked) {
        for (unsigned seen = 0; seen <= all + 1; ++seen) {
          double probability =
              probability_of_at_least({.seen = seen, .drawn = drawn, .marked = marked, .population = all});
          EXPECT_GE(probability, 0);
          EXPECT_LE(probability, 1 + 1e-9);
        }
      }
    }
  }
}

struct AnalysedFleet {
  AnalysedFleet(int nodes, int canary_count, unsigned seed = 1) : fleet(fleet_of(nodes)), random(seed) {
    for (const fleet::Node& node : fleet.nodes) {
      servers.push_back(server_of(node));
      bool is_canary = static_cast<int>(servers.size()) <= canary_count;
      (is_canary ? canary : baseline).insert(node.name);
      servers.back().report.request_classes.push_back({"read", 0, 0, 0, 0, 0});
    }
    analysis.begin(servers, kSecond);
  }
  // Requests at one server, of which so many are late.
  void serve(std::size_t index, int requests, double late, double core_ms = 10) {
    report::RequestClassCounts& counts = servers[index].report.request_classes[0];
    counts.read += static_cast<std::uint64_t>(requests);
    counts.completed += static_cast<std::uint64_t>(requests);
    auto not_in_time = std::binomial_distribution<int>(requests, late)(random);
    counts.in_time += static_cast<std::uint64_t>(requests - not_in_time);
    servers[index].report.core_time += static_cast<std::uint64_t>(core_ms * 1e6 * requests);
  }
  AnalysisResult evaluate(unsigned rounds = 32) {
    agreement::Plan plan = plan_of(2);
    plan.set_least_exchanges(20);
    return analysis.evaluate({.plan = plan,
                              .servers = servers,
                              .canary = canary,
                              .baseline = baseline,
                              .rounds = rounds,
                              .now = 10 * kSecond});
  }
  fleet::Fleet fleet;
  std::mt19937 random;
  std::vector<routing::ServerStatus> servers;
  std::set<std::string> canary;
  std::set<std::string> baseline;
  CanaryAnalysis analysis;
};

TEST(CanaryAnalysisTest, LateVersionFailsAndEqualVersionPasses) {
  AnalysedFleet late(100, 3);
  AnalysedFleet equal(100, 3);
  for (std::size_t i = 0; i < 100; ++i) {
    late.serve(i, 60, i < 3 ? 0.5 : 0.02);
    equal.serve(i, 60, 0.02);
  }
  EXPECT_EQ(late.evaluate().verdict, AnalysisVerdict::kFail);
  EXPECT_EQ(equal.evaluate().verdict, AnalysisVerdict::kPass) << equal.evaluate().reason;
}

TEST(CanaryAnalysisTest, OneSlowServerDoesNotFailTheVersion) {
  AnalysedFleet fleet(100, 3);
  for (std::size_t i = 0; i < 100; ++i) fleet.serve(i, 60, i == 1 ? 0.9 : 0.02);
  EXPECT_EQ(fleet.evaluate().verdict, AnalysisVerdict::kPass) << fleet.evaluate().reason;
}

TEST(CanaryAnalysisTest, TooFewRequestsAreInconclusive) {
  AnalysedFleet fleet(100, 3);
  for (std::size_t i = 0; i < 100; ++i) fleet.serve(i, i < 3 ? 19 : 60, 0);
  EXPECT_EQ(fleet.evaluate().verdict, AnalysisVerdict::kInconclusive);
  AnalysedFleet idle(100, 3);
  EXPECT_EQ(idle.evaluate().verdict, AnalysisVerdict::kInconclusive);
}

TEST(CanaryAnalysisTest, HigherCoreTimeFailsTheVersion) {
  AnalysedFleet fleet(60, 4);
  for (std::size_t i = 0; i < 60; ++i)
    fleet.serve(i, 60, 0.02, i < 4 ? 20 : 10 + static_cast<double>(i % 5) / 10);
  AnalysisResult result = fleet.evaluate();
  EXPECT_EQ(result.verdict, AnalysisVerdict::kFail);
  EXPECT_NE(result.reason.find("core time"), std::string::npos);
}

TEST(CanaryAnalysisTest, FailedCanariesFailTheVersion) {
  AnalysedFleet fleet(100, 3);
  for (std::size_t i = 0; i < 3; ++i) fleet.servers[i].state = routing::ServerState::kUnresponsive;
  fleet.analysis.watch(fleet.servers, 2 * kSecond);
  EXPECT_EQ(fleet.evaluate().verdict, AnalysisVerdict::kFail);
}

// Over many fleets, with the limits of plan_of().
TEST(CanaryAnalysisTest, ErrorRatesAreWithinThePlan) {
  int false_halts = 0;
  int false_passes = 0;
  constexpr unsigned kFleets = 400;
  for (unsigned seed = 1; seed <= kFleets; ++seed) {
    AnalysedFleet same(40, 4, seed);
    AnalysedFleet worse(40, 4, seed);
    for (std::size_t i = 0; i < 40; ++i) {
      double noise = std::uniform_real_distribution<>(0, 0.1)(same.random);
      same.serve(i, 60, noise);
      worse.serve(i, 60, i < 4 ? noise + 0.25 : noise);
    }
    false_halts += same.evaluate(1).verdict == AnalysisVerdict::kFail;
    false_passes += worse.evaluate(1).verdict == AnalysisVerdict::kPass;
  }
  EXPECT_LE(false_halts, kFleets * 2 / 100);
  EXPECT_LE(false_passes, kFleets * 5 / 100);
}

}  // namespace
}  // namespace myrtlecroft::releases
