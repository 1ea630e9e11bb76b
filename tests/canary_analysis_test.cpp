// Tests the verdicts and error rates of the canary analysis, and the rank statistics that it uses.
#include "releases/canary_analysis.h"

#include <gtest/gtest.h>

#include <random>

#include "releases_fakes.h"

namespace myrtlecroft::releases {
namespace {

TEST(RankStatisticsTest, ProbabilityIsHypergeometricAndDefinedForAllCounts) {
  EXPECT_NEAR(rank_p_value({.found = 3, .canaries = 3, .baselines = 97}), 1.0 / 161'700, 1e-12);
  EXPECT_NEAR(rank_p_value({.found = 1, .canaries = 1, .baselines = 9}), 0.1, 1e-12);
  EXPECT_EQ(rank_p_value({.found = 0, .canaries = 3, .baselines = 97}), 1);
  EXPECT_EQ(rank_p_value({.found = 5, .canaries = 6, .baselines = 1}), 1)
      << "five canaries must be among the first six of seven";
  // No combination may throw, because the control service does not expect an exception.
  for (unsigned all = 1; all <= 8; ++all) {
    for (unsigned draws = 0; draws <= all; ++draws) {
      for (unsigned successes = 0; successes <= all; ++successes) {
        for (unsigned successes_drawn = 0; successes_drawn <= all + 1; ++successes_drawn) {
          double probability = probability_of_at_least({.successes_drawn = successes_drawn,
                                                        .draws = draws,
                                                        .successes = successes,
                                                        .population = all});
          EXPECT_GE(probability, 0);
          EXPECT_LE(probability, 1 + 1e-9);
        }
      }
    }
  }
}

// A fleet of which the first `canary_count` servers are canaries.
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
  // Adds completed requests to one server's counters; `late` is the probability that one is late.
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

// 400 pairs of random fleets, one with an equal and one with a worse version. The plan of plan_of() allows 2%
// false halts and 5% false passes.
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
