// Decides whether servers in a new version (the canaries) do worse than servers that still run another one
// (the baseline), over the same time and load. Called by PhaseAnalysis, on the control loop's thread. Owns
// the measurements of the current phase of a release. No I/O.
//
// A server is one sample, however many requests it had: requests of one server are correlated, so that
// counted one by one a noisy neighbour would look like a bad version. The servers' ranks are compared
// (rank_statistics.h), by two questions with an error rate each:
//   fail: worse by more than the plan's `worse_by`; `false_halts` bounds, over all analysis rounds of a
//         release, how often a version that is not worse fails;
//   pass: not worse by `good_within`; `false_goods` bounds how often a wave that is worse passes.
// Otherwise the round is inconclusive.
#pragma once

#include <string>
#include <vector>

#include "releases/canary_sampler.h"

namespace myrtlecroft::releases {

enum class AnalysisVerdict { kInconclusive, kPass, kFail };

struct AnalysisResult {
  AnalysisVerdict verdict = AnalysisVerdict::kInconclusive;
  std::string reason;  // with its figures, in one line; empty where it passed
};

// Baseline servers that a comparison needs.
constexpr unsigned kMinBaselineServers = 2;

class CanaryAnalysis {
 public:
  // Restarts all measurements.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now) { sampler_.begin(servers, now); }
  // Call at every tick: a server that leaves service or comes back as another incarnation is measured anew.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now) { sampler_.watch(servers, now); }
  Nanos begun() const { return sampler_.begun(); }

  // One analysis round over what was measured since begin().
  AnalysisResult evaluate(const AnalysisInput& input) const;

 private:
  CanarySampler sampler_;
};

}  // namespace myrtlecroft::releases
