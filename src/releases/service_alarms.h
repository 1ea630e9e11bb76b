// Detects services that became slower during a release: more answers of the servers that use them are late
// than when the release started. Called by ReleaseMonitor and release_transitions, on the control loop's
// thread. Owns the measurements by service. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Compares each service's share of late answers with its share at the start of the release. Not thread-safe.
class ServiceAlarms {
 public:
  // Call when a release starts: later late shares are compared with the present ones.
  void record_reference_shares();
  // Call when a phase starts: an alarm needs the plan's full `alarm_for` within one phase.
  void restart_timers();
  // Updates the late shares. Call at every tick.
  void measure(const RolloutContext& context);
  // Returns the figures of the first service by name whose late share has been too high for the plan's
  // `alarm_for`; no value: there is none.
  std::optional<std::string> raised_alarm(const RolloutContext& context) const;

 private:
  // Share of late answers among all answers of the servers that use a service.
  struct LateShare {
    double at_release_start = 0;
    double now = 0;
    Nanos above_since = 0;  // when it rose above the plan's limit; 0: not above
  };
  std::map<std::string, LateShare> late_shares_;
};

}  // namespace myrtlecroft::releases
