// Builds the assignment of each server: its shards, and whether it is to restart.
#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {

// Rebuilds the index of shards by owner, at most once per decision, so that answering a report costs time
// proportional to the number of shards of its server.
void ControlReplica::index_owned_shards() {
  if (owned_shards_epoch_ == state_.epoch()) return;
  owned_shards_epoch_ = state_.epoch();
  owned_shards_.clear();
  for (std::size_t index = 0; index < state_.shards().size(); ++index) {
    const routing::Shard& shard = state_.shards()[index];
    if (shard.state == routing::ShardState::kOwned)
      owned_shards_[shard.owner].push_back(static_cast<std::uint16_t>(index));
  }
}

ShardAssignment ControlReplica::assignment_for(const std::string& node) {
  ShardAssignment out;
  out.epoch = state_.assignments_epoch();
  auto known = state_.nodes().find(node);
  if (known != state_.nodes().end()) out.incarnation = known->second.life();
  out.shard_digits = router_.fleet().bounds.shard_digits;
  index_owned_shards();
  auto owned = owned_shards_.find(node);
  if (owned != owned_shards_.end()) {
    for (std::uint16_t index : owned->second) {
      const routing::Shard& shard = state_.shards()[index];
      if (shard.incarnation == 0 || shard.incarnation == out.incarnation) out.shards.push_back(index);
    }
  }
  const MaintenanceLease* lease = state_.maintenance().lease(node);
  if (lease && lease->phase == MaintenancePhase::kRestarting && lease->incarnation == out.incarnation)
    out.restart_version = static_cast<std::uint8_t>(lease->version);
  return out;
}

}  // namespace myrtlecroft::agreement
