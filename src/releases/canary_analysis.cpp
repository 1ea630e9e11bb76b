#include "releases/canary_analysis.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace myrtlecroft::releases {
namespace {

constexpr double kThousandths = 1000;        // of the plan's shares
constexpr unsigned kTestsWithoutShares = 2;  // failed servers, and core time
constexpr double kCoreTimePassFactor = 3;    // times `slower_by`: surely not slower by more than this passes
constexpr std::size_t kMaxLine = 240;        // bytes of a reason

unsigned size_of(const std::vector<double>& values) { return static_cast<unsigned>(values.size()); }

// The plan's error rate for false halts, divided over every test of every round.
double false_halt_rate_of_a_test(const AnalysisInput& input, const CanarySamples& samples) {
  std::size_t shares = samples.metrics.size() - samples.metrics.count(kCoreTimeMetric);
  double tests = static_cast<double>(kTestsWithoutShares + shares) * std::max(1u, input.rounds);
  return input.plan.false_halts() / kThousandths / tests;
}

// Fails the version if more canaries failed than chance explains.
std::optional<AnalysisResult> failed_servers(const AnalysisInput& input, const CanarySamples& samples,
                                             double false_halt_rate) {
  auto canaries = static_cast<unsigned>(input.canary.size());
  auto baselines = static_cast<unsigned>(input.baseline.size());
  if (baselines < kMinBaselineServers || samples.failed_canaries == 0) return std::nullopt;
  double probability = probability_of_at_least({.seen = samples.failed_canaries,
                                                .drawn = canaries,
                                                .marked = samples.failed_canaries + samples.failed_baselines,
                                                .population = canaries + baselines});
  if (probability > false_halt_rate) return std::nullopt;
  char line[kMaxLine];
  std::snprintf(line, sizeof line,
                "%u of %u canary servers failed, %u of %u baseline servers; probability by chance %.2g",
                samples.failed_canaries, canaries, samples.failed_baselines, baselines, probability);
  return AnalysisResult{AnalysisVerdict::kFail, line};
}

AnalysisResult compare(const std::string& metric, const SampleGroups& samples, const agreement::Plan& plan,
                       double false_halt_rate) {
  bool is_core_time = metric == kCoreTimeMetric;
  double worse_by = (is_core_time ? plan.slower_by() : plan.worse_by()) / kThousandths;
  double pass_within = is_core_time ? kCoreTimePassFactor * worse_by : plan.good_within() / kThousandths;
  unsigned canaries = size_of(samples.canary);
  unsigned baselines = size_of(samples.baseline);
  // No server has requests of this class.
  if (canaries == 0 && baselines < kMinBaselineServers) return {AnalysisVerdict::kPass, ""};
  if (canaries == 0 || baselines < kMinBaselineServers) {
    return {AnalysisVerdict::kInconclusive, metric + ": too few servers with enough requests, " +
                                                std::to_string(canaries) + " canary and " +
                                                std::to_string(baselines) + " baseline servers"};
  }
  unsigned worst = canaries_among_highest(samples, worse_by);
  double probability = probability_by_chance({.found = worst, .canaries = canaries, .baselines = baselines});
  char line[kMaxLine];
  std::snprintf(line, sizeof line,
                "%s: canary median %.3f, baseline median %.3f; %u canaries among the %u worst of %u servers, "
                "probability by chance %.2g",
                metric.c_str(), median(samples.canary), median(samples.baseline), worst, canaries,
                canaries + baselines, probability);
  if (probability <= false_halt_rate) return {AnalysisVerdict::kFail, line};
  unsigned best = canaries_among_lowest(samples, pass_within);
  double best_probability =
      probability_by_chance({.found = best, .canaries = canaries, .baselines = baselines});
  if (2 * best < canaries || best_probability > plan.false_goods() / kThousandths)
    return {AnalysisVerdict::kInconclusive, std::string("not shown to be as good, ") + line};
  return {AnalysisVerdict::kPass, ""};
}

// A request class that baseline servers have, and of which some canary had too few requests.
std::optional<std::string> too_few_requests(const AnalysisInput& input, const CanarySamples& samples) {
  for (const auto& [request_class, received] : samples.fewest_canary_requests) {
    auto served = samples.metrics.find(request_class + kNotServedMetric);
    bool baseline_has = served != samples.metrics.end() && !served->second.baseline.empty();
    if (received < input.plan.least_exchanges() && baseline_has) {
      return "request class " + request_class + ": only " + std::to_string(received) +
             " requests at a canary server";
    }
  }
  if (samples.metrics.empty()) return "too few requests";
  return std::nullopt;
}

}  // namespace

AnalysisResult CanaryAnalysis::evaluate(const AnalysisInput& input) const {
  CanarySamples samples = sampler_.sample(input);
  double false_halt_rate = false_halt_rate_of_a_test(input, samples);
  if (auto failed = failed_servers(input, samples, false_halt_rate)) return *failed;
  std::optional<std::string> inconclusive;  // the first reason
  if (samples.measured_canaries < input.canary.size()) {
    inconclusive = std::to_string(samples.measured_canaries) + " of " + std::to_string(input.canary.size()) +
                   " canary servers are measured";
  }
  for (const auto& [metric, groups] : samples.metrics) {
    AnalysisResult result = compare(metric, groups, input.plan, false_halt_rate);
    if (result.verdict == AnalysisVerdict::kFail) return result;
    if (result.verdict == AnalysisVerdict::kInconclusive && !inconclusive) inconclusive = result.reason;
  }
  if (!inconclusive) inconclusive = too_few_requests(input, samples);
  if (inconclusive) return {AnalysisVerdict::kInconclusive, *inconclusive};
  return {AnalysisVerdict::kPass, ""};
}

}  // namespace myrtlecroft::releases
