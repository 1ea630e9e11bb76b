// Adding and removing replicas, one at a time.
#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {
namespace {

constexpr std::uint64_t kCaughtUp = 3;  // decisions that a new instance may lack when it is given its vote

}  // namespace

std::string ControlReplica::add_member(consensus::ReplicaId id, const std::string& address) {
  if (!raft_node_->ready()) return "this instance does not lead";
  if (raft_node_->role_of(id))
    return "instance " + std::to_string(id) + " belongs already; a replaced one gets a new id";
  if (membership_changing_) return "another change of who belongs is under way";
  membership_changing_ = true;
  log_("instance " + std::to_string(id) + " at " + address + " is let in; it votes once it has caught up");
  raft_node_->add(id, address, [this](bool) { membership_changing_ = false; });
  return "";
}

std::string ControlReplica::remove_member(consensus::ReplicaId id) {
  if (!raft_node_->ready()) return "this instance does not lead";
  if (!raft_node_->role_of(id)) return "no instance " + std::to_string(id) + " belongs";
  if (id == options_.id) return "it leads: hand on first";
  if (membership_changing_) return "another change of who belongs is under way";
  membership_changing_ = true;
  log_("instance " + std::to_string(id) + " is let out for good");
  raft_node_->remove(id, [this, id](bool good) {
    membership_changing_ = false;
    if (!good) return;
    lease_.remove(id);
    proxies_.remove(id);
    peers_.erase(id);
  });
  return "";
}

void ControlReplica::promote_caught_up_learners() {
  if (membership_changing_) return;
  for (const consensus::Server& server : raft_node_->servers()) {
    PeerStatus peer = peer_status(server.id());
    bool caught_up = peer.received_at > 0 && now() - peer.received_at < options_.lease_duration &&
                     peer.applied + kCaughtUp >= state_.epoch().number;
    if (server.role() == RAFT_VOTER || !caught_up) continue;
    membership_changing_ = true;
    std::string name = "instance " + std::to_string(server.id());
    raft_node_->promote(server.id(), [this, name](bool good) {
      membership_changing_ = false;
      if (good) log_(name + " has caught up and votes");
    });
    return;
  }
}

}  // namespace myrtlecroft::agreement
