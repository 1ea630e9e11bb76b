// Proposes, on the replica that leads, which servers are taken out next, which are back, and whether a
// release goes on: further steps of the decision that is drawn up. The rules of the agreed state accept or
// reject them (agreement/maintenance_state.h). Called by ControlReplica, on the control loop's thread. Owns
// the measurements of the release; the release itself is agreed state. No I/O.
#pragma once

#include <functional>
#include <string>

#include "agreement/control_replica.h"
#include "releases/maintenance_grants.h"
#include "releases/release_monitor.h"

namespace myrtlecroft::releases {

class RolloutController final : public agreement::DecisionContributor {
 public:
  using Log = std::function<void(const std::string&)>;
  // `log` receives one line for each change of phase and each command.
  explicit RolloutController(Log log) : log_(log), monitor_(std::move(log)) {}

  // Measures; at every tick on every replica.
  void observe(const View& view) override;
  // Adds steps to the decision; on the leader only.
  void append_steps(const View& view, agreement::Decision& out) override;

  // What the release waits for, or the figures of its latest analysis round, as measured here; one line.
  const std::string& status_detail() const { return status_detail_; }

 private:
  void propose_command_result(const RolloutContext& context, agreement::Decision& out);

  Log log_;
  ReleaseMonitor monitor_;
  MaintenanceGrants grants_;
  std::string status_detail_;
};

}  // namespace myrtlecroft::releases
