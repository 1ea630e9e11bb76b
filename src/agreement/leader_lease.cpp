#include "agreement/leader_lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace myrtlecroft::agreement {

void LeaderLease::fill_heartbeat(consensus::ReplicaId to, std::uint64_t term, consensus::ReplicaId leader,
                                 Nanos now, consensus::Heartbeat& heartbeat) const {
  heartbeat.set_term(term);
  heartbeat.set_leader(leader);
  heartbeat.set_stamp(static_cast<std::uint64_t>(now));
  auto found = peers_.find(to);
  if (found != peers_.end()) heartbeat.set_your_stamp(found->second.received_stamp);
}

void LeaderLease::receive(consensus::ReplicaId from, const consensus::Heartbeat& heartbeat,
                          std::uint64_t term, consensus::ReplicaId leader) {
  Peer& peer = peers_[from];
  peer.received_stamp = std::max(peer.received_stamp, heartbeat.stamp());
  if (heartbeat.term() != term) return;
  if (leader == self_ && heartbeat.leader() == self_) {
    if (peer.echoed_term != term) peer.echoed_stamp = 0;
    peer.echoed_stamp = std::max(peer.echoed_stamp, heartbeat.your_stamp());
    peer.echoed_term = term;
  }
  if (leader == from && heartbeat.leader() == from && heartbeat.confirmed()) {
    if (peer.confirmed_term != term) peer.confirmed_stamp = 0;
    peer.confirmed_stamp = std::max(peer.confirmed_stamp, heartbeat.your_stamp());
    peer.confirmed_term = term;
  }
}

Nanos LeaderLease::quorum_confirmed_at(std::uint64_t term, consensus::ReplicaId leader,
                                       std::size_t voter_count) const {
  if (leader == 0) return 0;
  if (leader != self_) {
    auto found = peers_.find(leader);
    return found != peers_.end() && found->second.confirmed_term == term
               ? static_cast<Nanos>(found->second.confirmed_stamp)
               : 0;
  }
  // The latest stamp that enough other replicas have returned; this replica itself is one of the majority.
  std::size_t others = voter_count / 2;
  if (others == 0) return std::numeric_limits<Nanos>::max();
  std::vector<std::uint64_t> stamps;
  for (const auto& [id, peer] : peers_) {
    if (peer.echoed_term == term) stamps.push_back(peer.echoed_stamp);
  }
  if (stamps.size() < others) return 0;
  std::sort(stamps.begin(), stamps.end(), std::greater<>());
  return static_cast<Nanos>(stamps[others - 1]);
}

}  // namespace myrtlecroft::agreement
