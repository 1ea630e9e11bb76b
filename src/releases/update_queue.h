// Selects the servers that a release takes out next, and their order. Called by MaintenanceGrants and
// release_transitions, on the control loop's thread. Pure function; owns nothing.
#pragma once

#include <string>
#include <vector>

#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Returns the servers that must still change their version in the current wave or rollback, in the order in
// which to take them out. Empty if none is left or if the release's phase takes no servers out.
std::vector<std::string> servers_to_update(const RolloutContext& context);

}  // namespace myrtlecroft::releases
