// What must hold in the simulated world whatever fails, checked by what happened and not by what is reported.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::violate(int& count, const std::string& what) {
  ++count;
  if (result_.first.empty()) {
    result_.first =
        "seed " + std::to_string(options_.seed) + " at " + std::to_string(now_ / kMs) + " ms: " + what;
  }
}

void Simulation::track_leases(const agreement::ReplicatedState& state) {
  const agreement::MaintenanceState& maintenance = state.maintenance();
  for (const auto& [node, lease] : maintenance.leases()) {
    if (lease.phase == agreement::MaintenancePhase::kRestarting) allowed_to_restart_[node] = now_;
  }
  result_.releases = std::max(result_.releases, static_cast<int>(maintenance.release().id()));
  bool finished =
      maintenance.release().phase() == agreement::PHASE_DONE && maintenance.release().reason().empty();
  if (finished && bad_versions_.erase(maintenance.release().plan().version()) > 0)
    violate(result_.bad_finished, "a bad version is everywhere");
}

void Simulation::check_shard_owners() {
  later(50 * kMs, [this] { check_shard_owners(); });
  std::vector<const std::string*> owners(std::size_t{1} << (4 * options_.shard_digits), nullptr);
  for (const auto& proxy : proxies_) {
    if (!proxy->set || proxy->closed) continue;
    const routing::Snapshot& set = proxy->set->snapshot;
    for (std::size_t at = 0; at < set.shards.size(); ++at) {
      if (set.shards[at] == routing::kClosed) continue;
      const std::string& owner = set.nodes[static_cast<std::size_t>(set.shards[at])].name;
      if (owners[at] && *owners[at] != owner)
        violate(result_.split_owners,
                "shard " + std::to_string(at) + " is open at " + owner + " and " + *owners[at]);
      owners[at] = &owner;
    }
  }
}

// After the quiet at the end there is one leader, and every replica is complete.
void Simulation::check_recovery() {
  int leaders = 0;
  for (auto& control : controls_) {
    if (control->retired) continue;
    const ControlReplica& instance = *control->instance;
    leaders += instance.is_active_leader();
    result_.invalid_proposals += static_cast<int>(instance.invalid_proposals());
    std::string who = "instance " + std::to_string(control->place + 1);
    if (!instance.has_quorum())
      violate(result_.not_back,
              who + " is out of touch after the quiet, " + consensus::name_of(instance.raft_node().role()));
    if (instance.committed_state().epoch().number + 3 < agreed_)
      violate(result_.lost_entries, who + " lacks what was agreed");
    // Operators may have left servers out.
    std::size_t closed = instance.committed_state().maintenance().leases().empty()
                             ? instance.committed_state().closed_shards()
                             : 0;
    if (closed > 0)
      violate(result_.not_back, who + " has " + std::to_string(closed) + " shards closed after the quiet");
  }
  if (leaders != 1) violate(result_.not_back, std::to_string(leaders) + " leaders after the quiet");
}

}  // namespace myrtlecroft::rehearsal
