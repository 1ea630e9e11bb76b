// Grants maintenance leases to servers that operators drain and to servers that a release updates or rolls
// back, as far as the disruption budget allows. Called by RolloutController on the leader, on the control
// loop's thread. Owns the time of the last grant and the reason why the next one is blocked. No I/O.
#pragma once

#include <string>

#include "agreement.pb.h"
#include "releases/disruption_budget.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Proposes maintenance leases within the disruption budget. Not thread-safe.
class MaintenanceGrants {
 public:
  // Adds a grant to the decision for each server that may be taken out now.
  void propose(const RolloutContext& context, agreement::Decision& out);

  // Time of the last grant on this replica; 0: none.
  Nanos last_granted() const { return last_granted_; }
  // Why the first waiting server could not be taken out in the last propose(); empty: no server had to wait.
  const std::string& blocked_reason() const { return blocked_reason_; }

 private:
  struct Grant {
    std::string node;
    agreement::MaintenanceReason reason = agreement::REASON_DRAIN;
    std::uint32_t version = 0;  // to restart in; 0 for a drain
    Nanos duration = 0;
    double reserve = 0;  // share of the remaining capacity that must stay free
  };
  void propose_drains(const RolloutContext& context, DisruptionBudget& budget, agreement::Decision& out);
  void propose_updates(const RolloutContext& context, DisruptionBudget& budget, agreement::Decision& out);
  void grant_within(DisruptionBudget& budget, const Grant& grant, Nanos now, agreement::Decision& out);

  Nanos last_granted_ = 0;
  std::string blocked_reason_;
};

}  // namespace myrtlecroft::releases
