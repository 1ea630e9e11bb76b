// Adding and removing replicas, one at a time.
#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {
namespace {

constexpr std::uint64_t kMaxPromotionLag = 3;  // decisions that a learner may lack when it becomes a voter

}  // namespace

std::string ControlReplica::add_member(consensus::ReplicaId id, const std::string& address) {
  if (!raft_node_->ready()) return "this replica is not the leader";
  if (raft_node_->role_of(id))
    return "replica " + std::to_string(id) + " is already a member; a replacement needs a new id";
  if (membership_changing_) return "another membership change is under way";
  membership_changing_ = true;
  log_("adding replica " + std::to_string(id) + " at " + address +
       " as a learner; it votes once it has caught up");
  raft_node_->add(id, address, [this](bool) { membership_changing_ = false; });
  return "";
}

std::string ControlReplica::remove_member(consensus::ReplicaId id) {
  if (!raft_node_->ready()) return "this replica is not the leader";
  if (!raft_node_->role_of(id)) return "replica " + std::to_string(id) + " is not a member";
  if (id == options_.id) return "the leader can't remove itself: transfer leadership first";
  if (membership_changing_) return "another membership change is under way";
  membership_changing_ = true;
  log_("removing replica " + std::to_string(id) + " for good");
  raft_node_->remove(id, [this, id](bool succeeded) {
    membership_changing_ = false;
    if (!succeeded) return;
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
                     peer.applied + kMaxPromotionLag >= state_.epoch().number;
    if (server.role() == RAFT_VOTER || !caught_up) continue;
    membership_changing_ = true;
    std::string name = "replica " + std::to_string(server.id());
    raft_node_->promote(server.id(), [this, name](bool succeeded) {
      membership_changing_ = false;
      if (succeeded) log_(name + " has caught up and is a voter now");
    });
    return;
  }
}

}  // namespace myrtlecroft::agreement
