// Determines the next transition of a release: its wave is complete or passes, or the release is halted or
// rolled back. Called by RolloutController on the leader, on the control loop's thread. Owns nothing.
#pragma once

#include "agreement.pb.h"
#include "releases/maintenance_grants.h"
#include "releases/release_monitor.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Input of the transition rules. A rule that reads the analysis result may run a new analysis round.
struct ReleaseEvidence {
  const RolloutContext& context;
  ReleaseMonitor& monitor;
  const MaintenanceGrants& grants;
};

// Adds the release's transition to the decision, if one is due.
void propose_release_transition(const ReleaseEvidence& evidence, agreement::Decision& out);

}  // namespace myrtlecroft::releases
