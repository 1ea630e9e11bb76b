// Runs the canary analysis of one phase of a release, in a few rounds only, because each round may be wrong
// by chance. Called by ReleaseMonitor and release_transitions, on the control loop's thread. Owns the
// measurements and the latest result. No I/O.
#pragma once

#include <vector>

#include "releases/canary_analysis.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Schedules the analysis rounds of one phase and keeps the latest result. Not thread-safe.
class PhaseAnalysis {
 public:
  // Starts a new phase: restarts all measurements and clears the latest result.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // Call at every tick of a phase.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now) { analysis_.watch(servers, now); }
  // When the phase began.
  Nanos started_at() const { return analysis_.started_at(); }

  // Runs a new round if one is due, and returns the latest result.
  const AnalysisResult& result(const RolloutContext& context);
  // Returns the latest result without running a round.
  const AnalysisResult& latest() const { return latest_; }
  // Time of the latest round; before the first one, of the start of the phase.
  Nanos latest_at() const { return latest_at_; }

 private:
  AnalysisResult evaluate(const RolloutContext& context) const;

  CanaryAnalysis analysis_;
  AnalysisResult latest_;
  Nanos latest_at_ = 0;
};

}  // namespace myrtlecroft::releases
