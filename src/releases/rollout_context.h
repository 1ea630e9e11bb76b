// What every decision of one tick rests on: the agreed maintenance and release, and the servers as they
// report. Made by RolloutController at each tick, read by the files beside it, on the control loop's thread.
// Owns indexes into the view; lives no longer than the view. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "agreement/replicated_state.h"

namespace myrtlecroft::releases {

struct RolloutContext {
  using View = agreement::DecisionContributor::View;

  explicit RolloutContext(const View& from);
  // nullptr: no such server.
  const routing::ServerStatus* server(const std::string& name) const;
  const std::vector<routing::ServerStatus>& all_servers() const { return view.router.registry().all(); }
  // In agreed time.
  Nanos time_in_phase(const agreement::MaintenanceLease& lease) const { return view.time - lease.since; }
  bool has_target_version(const routing::ServerStatus& server) const {
    return server.version == plan.version();
  }
  bool any_lease_for(agreement::MaintenanceReason why) const;

  const View& view;
  const agreement::MaintenanceState& maintenance;
  const agreement::Release& release;
  const agreement::Plan& plan;
  std::map<std::string, const routing::ServerStatus*> servers;
  std::set<std::string> leased;                                    // servers that are out by agreement
  std::map<std::string, const agreement::UpdatedServer*> updated;  // servers that the release has taken out
};

// The first three names, and how many more there are.
std::string listed(const std::vector<std::string>& names);

}  // namespace myrtlecroft::releases
