// Determines the next step of each maintenance lease: drained, restart, restarted, completed, cancelled,
// failed or extended. Called by RolloutController on the leader, on the control loop's thread. Pure function;
// owns nothing.
#pragma once

#include "agreement.pb.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Adds at most one step for each lease to the decision.
void propose_maintenance_steps(const RolloutContext& context, agreement::Decision& out);

}  // namespace myrtlecroft::releases
