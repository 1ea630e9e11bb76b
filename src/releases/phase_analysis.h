// Runs the canary analysis of one phase of a release: a few rounds only, since each could be wrong by chance.
// Called by ReleaseMonitor and the release's transitions, on the control loop's thread. Owns the measurements
// and the latest result. No I/O.
#pragma once

#include <vector>

#include "releases/canary_analysis.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

class PhaseAnalysis {
 public:
  // A new phase: all measurements restart, and nothing is known yet.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // Call at every tick of a phase.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now) { analysis_.watch(servers, now); }
  Nanos begun() const { return analysis_.begun(); }

  // The latest result, of a new round if one is due.
  const AnalysisResult& result(const RolloutContext& context);
  // The latest result, without a new round.
  const AnalysisResult& latest() const { return latest_; }
  // When the latest round was, or the phase began.
  Nanos latest_at() const { return latest_at_; }

 private:
  AnalysisResult evaluate(const RolloutContext& context) const;

  CanaryAnalysis analysis_;
  AnalysisResult latest_;
  Nanos latest_at_ = 0;
};

}  // namespace myrtlecroft::releases
