#include "releases/canary_analysis.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace myrtlecroft::releases {
namespace {

constexpr double kThousandths = 1000;  // unit of the plan's shares
constexpr unsigned kFixedTests = 2;    // run in every round: failed servers, and core time
// A version passes on core time if it is shown not to be slower by more than this multiple of `slower_by`.
constexpr double kCoreTimePassFactor = 3;
constexpr std::size_t kReasonBufferSize = 240;  // bytes

unsigned count_of(const std::vector<double>& values) { return static_cast<unsigned>(values.size()); }

// Divides the plan's error rate for false halts by the number of tests in all rounds (Bonferroni correction).
double false_halt_rate_per_test(const AnalysisInput& input, const CanarySamples& samples) {
  std::size_t shares = samples.metrics.size() - samples.metrics.count(kCoreTimeMetric);
  double tests = static_cast<double>(kFixedTests + shares) * std::max(1u, input.rounds);
  return input.plan.false_halts() / kThousandths / tests;
}

// Fails the version if significantly more canary than baseline servers failed; no value: they did not.
std::optional<AnalysisResult> compare_failures(const AnalysisInput& input, const CanarySamples& samples,
                                               double false_halt_rate) {
  auto canaries = static_cast<unsigned>(input.canary.size());
  auto baselines = static_cast<unsigned>(input.baseline.size());
  if (baselines < kMinBaselineServers || samples.failed_canaries == 0) return std::nullopt;
  double p_value = probability_of_at_least({.successes_drawn = samples.failed_canaries,
                                            .draws = canaries,
                                            .successes = samples.failed_canaries + samples.failed_baselines,
                                            .population = canaries + baselines});
  if (p_value > false_halt_rate) return std::nullopt;
  char line[kReasonBufferSize];
  std::snprintf(line, sizeof line,
                "%u of %u canary servers failed, %u of %u baseline servers; probability by chance %.2g",
                samples.failed_canaries, canaries, samples.failed_baselines, baselines, p_value);
  return AnalysisResult{AnalysisVerdict::kFail, line};
}

// Compares both groups by one metric, by the two tests of canary_analysis.h.
AnalysisResult compare_metric(const std::string& metric, const SampleGroups& samples,
                              const agreement::Plan& plan, double false_halt_rate) {
  bool is_core_time = metric == kCoreTimeMetric;
  double worse_by = (is_core_time ? plan.slower_by() : plan.worse_by()) / kThousandths;
  double pass_within = is_core_time ? kCoreTimePassFactor * worse_by : plan.good_within() / kThousandths;
  unsigned canaries = count_of(samples.canary);
  unsigned baselines = count_of(samples.baseline);
  // No canary and hardly any baseline server has requests of this class: there is nothing to compare.
  if (canaries == 0 && baselines < kMinBaselineServers) return {AnalysisVerdict::kPass, ""};
  if (canaries == 0 || baselines < kMinBaselineServers) {
    return {AnalysisVerdict::kInconclusive, metric + ": too few servers with enough requests, " +
                                                std::to_string(canaries) + " canary and " +
                                                std::to_string(baselines) + " baseline servers"};
  }
  unsigned canaries_among_worst = canaries_among_highest(samples, worse_by);
  double p_value =
      rank_p_value({.found = canaries_among_worst, .canaries = canaries, .baselines = baselines});
  char line[kReasonBufferSize];
  std::snprintf(line, sizeof line,
                "%s: canary median %.3f, baseline median %.3f; %u canaries among the %u worst of %u servers, "
                "probability by chance %.2g",
                metric.c_str(), median(samples.canary), median(samples.baseline), canaries_among_worst,
                canaries, canaries + baselines, p_value);
  if (p_value <= false_halt_rate) return {AnalysisVerdict::kFail, line};
  unsigned canaries_among_best = canaries_among_lowest(samples, pass_within);
  double pass_p_value =
      rank_p_value({.found = canaries_among_best, .canaries = canaries, .baselines = baselines});
  if (2 * canaries_among_best < canaries || pass_p_value > plan.false_goods() / kThousandths)
    return {AnalysisVerdict::kInconclusive, std::string("not shown to be as good, ") + line};
  return {AnalysisVerdict::kPass, ""};
}

// Reports the first request class that baseline servers have and of which a canary had too few requests; no
// value: there were enough.
std::optional<std::string> find_missing_requests(const AnalysisInput& input, const CanarySamples& samples) {
  for (const auto& [request_class, received] : samples.fewest_canary_requests) {
    auto served = samples.metrics.find(request_class + kNotServedMetric);
    bool baseline_has_class = served != samples.metrics.end() && !served->second.baseline.empty();
    if (received < input.plan.least_exchanges() && baseline_has_class) {
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
  double false_halt_rate = false_halt_rate_per_test(input, samples);
  if (auto failed = compare_failures(input, samples, false_halt_rate)) return *failed;
  std::optional<std::string> inconclusive;  // the first reason found
  if (samples.measured_canaries < input.canary.size()) {
    inconclusive = std::to_string(samples.measured_canaries) + " of " + std::to_string(input.canary.size()) +
                   " canary servers are measured";
  }
  for (const auto& [metric, groups] : samples.metrics) {
    AnalysisResult result = compare_metric(metric, groups, input.plan, false_halt_rate);
    if (result.verdict == AnalysisVerdict::kFail) return result;
    if (result.verdict == AnalysisVerdict::kInconclusive && !inconclusive) inconclusive = result.reason;
  }
  if (!inconclusive) inconclusive = find_missing_requests(input, samples);
  if (inconclusive) return {AnalysisVerdict::kInconclusive, *inconclusive};
  return {AnalysisVerdict::kPass, ""};
}

}  // namespace myrtlecroft::releases
