// Decides whether servers with a new version (the canaries) perform worse than servers that still run another
// version (the baseline), over the same time and load. Called by PhaseAnalysis, on the control loop's thread.
// Owns the measurements of the current phase of a release. No I/O.
//
// Each server is one sample, however many requests it had: the requests of one server are correlated, so that
// with one sample per request a noisy neighbour would look like a bad version. The servers' ranks are
// compared (rank_statistics.h) by two tests, each with its own error rate:
//   fail: worse by more than the plan's `worse_by`; `false_halts` bounds, over all analysis rounds of a
//         release, how often a version that is not worse fails;
//   pass: not worse by `good_within`; `false_goods` bounds how often a wave that is worse passes.
// Otherwise the round is inconclusive.
#pragma once

#include <string>
#include <vector>

#include "releases/canary_sampler.h"

namespace myrtlecroft::releases {

// Result of one analysis round.
enum class AnalysisVerdict { kInconclusive, kPass, kFail };

// A verdict with its reason.
struct AnalysisResult {
  AnalysisVerdict verdict = AnalysisVerdict::kInconclusive;
  std::string reason;  // one line with its figures; empty for kPass
};

// Minimum number of baseline servers for a comparison.
constexpr unsigned kMinBaselineServers = 2;

// Compares canary and baseline servers by what their load reports count. Not thread-safe.
class CanaryAnalysis {
 public:
  // Restarts all measurements.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now) { sampler_.begin(servers, now); }
  // Call at every tick. Restarts the measurement of each server that left service or that came back as
  // another incarnation.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now) { sampler_.watch(servers, now); }
  // Time of the last begin().
  Nanos started_at() const { return sampler_.started_at(); }

  // Runs one analysis round over the measurements since begin().
  AnalysisResult evaluate(const AnalysisInput& input) const;

 private:
  CanarySampler sampler_;
};

}  // namespace myrtlecroft::releases
