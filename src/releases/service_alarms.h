// Watches the services that servers use: whether more answers of their users are late than when the release
// started. Called by ReleaseMonitor and the release's transitions, on the control loop's thread. Owns the
// measurements by service. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

class ServiceAlarms {
 public:
  // From now on the present late shares are what alarms are compared with.
  void release_started();
  // An alarm is raised only after its full time within one phase.
  void phase_started();
  // Call at every tick.
  void measure(const RolloutContext& context);
  // The figures of the first service by name whose late share has been too high for the plan's `alarm_for`.
  std::optional<std::string> raised(const RolloutContext& context) const;

 private:
  // The share of late answers of the servers that use a service.
  struct LateShare {
    double at_start = 0;
    double now = 0;
    Nanos above_since = 0;  // above what the plan allows; 0: it is not
  };
  std::map<std::string, LateShare> by_service_;
};

}  // namespace myrtlecroft::releases
