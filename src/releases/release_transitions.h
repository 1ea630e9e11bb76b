// The next phase of a release: whether its wave is complete, passes, halts the release or rolls it back.
// Called by RolloutController for a decision of the leader, on the control loop's thread. Owns nothing.
#pragma once

#include "agreement.pb.h"
#include "releases/maintenance_grants.h"
#include "releases/release_monitor.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// What a transition rests on. A new analysis round may run when a rule asks for its result.
struct ReleaseEvidence {
  const RolloutContext& context;
  ReleaseMonitor& monitor;
  const MaintenanceGrants& grants;
};

// Adds the transition of the release to the decision, if one is due.
void propose_release_transition(const ReleaseEvidence& evidence, agreement::Decision& out);

}  // namespace myrtlecroft::releases
