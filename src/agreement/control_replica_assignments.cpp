// What each server is told: its shards, and whether it is to restart.
#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {

// Once for each decision that reports come after, so that a report costs what its server owns.
void ControlReplica::index_owners() {
  if (owned_at_ == state_.epoch()) return;
  owned_at_ = state_.epoch();
  owned_.clear();
  for (std::size_t at = 0; at < state_.shards().size(); ++at) {
    const routing::Shard& shard = state_.shards()[at];
    if (shard.state == routing::ShardState::kOwned)
      owned_[shard.owner].push_back(static_cast<std::uint16_t>(at));
  }
}

ShardAssignment ControlReplica::assignment_for(const std::string& node) {
  ShardAssignment out;
  out.epoch = state_.assignments_epoch();
  auto known = state_.nodes().find(node);
  if (known != state_.nodes().end()) out.incarnation = known->second.life();
  out.shard_digits = router_.fleet().bounds.shard_digits;
  index_owners();
  auto owned = owned_.find(node);
  if (owned != owned_.end()) {
    for (std::uint16_t at : owned->second) {
      const routing::Shard& shard = state_.shards()[at];
      if (shard.incarnation == 0 || shard.incarnation == out.incarnation) out.shards.push_back(at);
    }
  }
  const MaintenanceLease* lease = state_.maintenance().lease(node);
  if (lease && lease->phase == MaintenancePhase::kRestarting && lease->incarnation == out.incarnation)
    out.restart_version = static_cast<std::uint8_t>(lease->version);
  return out;
}

}  // namespace myrtlecroft::agreement
