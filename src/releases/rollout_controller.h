// Adds steps to the leader's next decision: which servers are taken out of service, which are back, and
// whether a release continues. The agreed state accepts or rejects these steps
// (agreement/maintenance_state.h). Called by ControlReplica, on the control loop's thread. Owns the
// measurements of the release; the release itself is agreed state. No I/O.
#pragma once

#include <functional>
#include <string>

#include "agreement/control_replica.h"
#include "releases/maintenance_grants.h"
#include "releases/release_monitor.h"

namespace myrtlecroft::releases {

// Contributes the maintenance and release steps to each decision. Not thread-safe.
class RolloutController final : public agreement::DecisionContributor {
 public:
  using Log = std::function<void(const std::string&)>;
  // `log` receives one line for each phase change and each command.
  explicit RolloutController(Log log) : log_(log), monitor_(std::move(log)) {}

  // Updates the measurements. Called at every tick on every replica.
  void observe(const View& view) override;
  // Adds steps to the decision. Called on the leader only.
  void append_steps(const View& view, agreement::Decision& out) override;

  // One line: what the release waits for, or the figures of the latest analysis round on this replica.
  const std::string& status_detail() const { return status_detail_; }

 private:
  void propose_command_result(const RolloutContext& context, agreement::Decision& out);

  Log log_;
  ReleaseMonitor monitor_;
  MaintenanceGrants grants_;
  std::string status_detail_;
};

}  // namespace myrtlecroft::releases
