// Which servers a release takes out next, and in which order. Called by MaintenanceGrants and by the
// release's transitions, on the control loop's thread. Pure function; owns nothing.
#pragma once

#include <string>
#include <vector>

#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// The servers that still have to change their version in the current wave or rollback, in the order in which
// they should go; empty: none is left, or the release is in no phase that takes servers out.
std::vector<std::string> servers_to_update(const RolloutContext& context);

}  // namespace myrtlecroft::releases
