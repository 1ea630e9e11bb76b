// Invariants of the simulation under any fault, checked against actual events rather than reported state.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::record_violation(int& count, const std::string& description) {
  ++count;
  if (result_.first.empty()) {
    result_.first =
        "seed " + std::to_string(options_.seed) + " at " + std::to_string(now_ / kMs) + " ms: " + description;
  }
}

void Simulation::track_leases(const agreement::ReplicatedState& state) {
  const agreement::MaintenanceState& maintenance = state.maintenance();
  for (const auto& [server, lease] : maintenance.leases()) {
    if (lease.phase == agreement::MaintenancePhase::kRestarting) allowed_to_restart_[server] = now_;
  }
  result_.releases = std::max(result_.releases, static_cast<int>(maintenance.release().id()));
  bool finished =
      maintenance.release().phase() == agreement::PHASE_DONE && maintenance.release().reason().empty();
  if (finished && bad_versions_.erase(maintenance.release().plan().version()) > 0)
    record_violation(result_.bad_versions_completed, "the release of a bad version finished on all servers");
}

void Simulation::check_shard_owners() {
  schedule(50 * kMs, [this] { check_shard_owners(); });
  std::vector<const std::string*> owners(std::size_t{1} << (4 * options_.shard_digits), nullptr);
  for (const auto& proxy : proxies_) {
    if (!proxy->publication || proxy->closed) continue;
    const routing::Snapshot& publication = proxy->publication->snapshot;
    for (std::size_t at = 0; at < publication.shards.size(); ++at) {
      if (publication.shards[at] == routing::kClosed) continue;
      const std::string& owner = publication.nodes[static_cast<std::size_t>(publication.shards[at])].name;
      if (owners[at] && *owners[at] != owner)
        record_violation(result_.split_owners,
                         "shard " + std::to_string(at) + " is open on " + owner + " and " + *owners[at]);
      owners[at] = &owner;
    }
  }
}

// Checks that after the time without faults there is one leader and every replica has recovered fully.
void Simulation::check_recovery() {
  int leaders = 0;
  for (auto& replica : replicas_) {
    if (replica->retired) continue;
    const ControlReplica& instance = *replica->instance;
    leaders += instance.is_active_leader();
    result_.invalid_proposals += static_cast<int>(instance.invalid_proposals());
    std::string replica_name = "instance " + std::to_string(replica->place + 1);
    if (!instance.has_quorum())
      record_violation(result_.not_recovered, replica_name + " has no quorum after recovery, role " +
                                                  consensus::name_of(instance.raft_node().role()));
    if (instance.committed_state().epoch().number + 3 < highest_agreed_epoch_)
      record_violation(result_.lost_entries, replica_name + " lacks committed entries");
    // Shards may be closed while a maintenance lease is held: operators may have left servers drained.
    std::size_t closed = instance.committed_state().maintenance().leases().empty()
                             ? instance.committed_state().closed_shards()
                             : 0;
    if (closed > 0)
      record_violation(result_.not_recovered,
                       replica_name + " has " + std::to_string(closed) + " closed shards after recovery");
  }
  if (leaders != 1)
    record_violation(result_.not_recovered, std::to_string(leaders) + " leaders after recovery");
}

}  // namespace myrtlecroft::rehearsal
