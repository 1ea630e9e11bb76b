// Input of all rollout decisions of one tick: the agreed maintenance and release, and the servers' reported
// status. Created by RolloutController at each tick and read by the other files of this package, on the
// control loop's thread. Owns indexes into the view and must not outlive it. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "agreement/replicated_state.h"

namespace myrtlecroft::releases {

// The view of one tick, indexed by server.
struct RolloutContext {
  using View = agreement::DecisionContributor::View;

  explicit RolloutContext(const View& from);
  // Returns nullptr if there is no such server.
  const routing::ServerStatus* server(const std::string& name) const;
  const std::vector<routing::ServerStatus>& all_servers() const { return view.router.registry().all(); }
  // Returns how long the lease has been in its phase, in agreed time.
  Nanos time_in_phase(const agreement::MaintenanceLease& lease) const { return view.time - lease.since; }
  bool has_target_version(const routing::ServerStatus& server) const {
    return server.version == plan.version();
  }
  // Returns whether any maintenance lease was granted for this reason.
  bool any_lease_for(agreement::MaintenanceReason reason) const;

  const View& view;
  const agreement::MaintenanceState& maintenance;
  const agreement::Release& release;
  const agreement::Plan& plan;
  std::map<std::string, const routing::ServerStatus*> servers;
  std::set<std::string> leased;                                    // servers with a maintenance lease
  std::map<std::string, const agreement::UpdatedServer*> updated;  // by server that the release has taken out
};

// Returns the first three names, separated by commas, and the number of the others.
std::string truncated_list(const std::vector<std::string>& names);

}  // namespace myrtlecroft::releases
