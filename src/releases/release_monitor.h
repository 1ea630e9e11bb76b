// Measures the evidence for the transitions of a release: canary analysis, service alarms and interruptions
// of the agreement. Every control replica measures all the time, whether it leads or not, so that a new
// leader does not have to start over. Called by RolloutController, on the control loop's thread. Owns the
// measurements. No I/O.
#pragma once

#include <functional>
#include <string>

#include "releases/phase_analysis.h"
#include "releases/rollout_context.h"
#include "releases/service_alarms.h"

namespace myrtlecroft::releases {

// Keeps the measurements of the current phase of a release. Not thread-safe.
class ReleaseMonitor {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit ReleaseMonitor(Log log) : log_(std::move(log)) {}

  // Call at every tick. Returns true if a new phase of a release was agreed and its measurements started.
  bool watch(const RolloutContext& context);

  PhaseAnalysis& analysis() { return analysis_; }
  const PhaseAnalysis& analysis() const { return analysis_; }
  const ServiceAlarms& alarms() const { return alarms_; }
  // The longest time between two agreed decisions since the phase began.
  Nanos longest_interruption() const { return longest_interruption_; }

 private:
  void measure_interruption(const RolloutContext& context);
  bool is_same_phase(const agreement::Release& release) const;
  void begin_phase(const RolloutContext& context);
  void log_phase(const agreement::Release& release) const;

  Log log_;
  PhaseAnalysis analysis_;
  ServiceAlarms alarms_;
  // The phase being measured.
  std::uint64_t release_id_ = 0;
  agreement::ReleasePhase phase_ = agreement::PHASE_NONE;
  std::uint32_t wave_ = 0;
  // The last agreed decision.
  std::uint64_t epoch_ = 0;
  Nanos epoch_seen_at_ = 0;
  Nanos longest_interruption_ = 0;
};

}  // namespace myrtlecroft::releases
