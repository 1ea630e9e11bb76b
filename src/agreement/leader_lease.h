// Whether this replica is in contact with a majority, and since when that is certain. Each heartbeat carries
// a stamp of the sender's clock, which the recipient returns with its next heartbeat. A message that waited
// in a socket while a process was paused therefore proves nothing, and clocks of two replicas are never
// compared. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "consensus/raft_node.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::agreement {

// Not thread-safe; used on ControlReplica's thread.
class LeaderLease {
 public:
  LeaderLease(consensus::ReplicaId self, Nanos duration) : self_(self), duration_(duration) {}

  // Sets the stamps, the term and the known leader in a heartbeat to replica `to`.
  void fill_heartbeat(consensus::ReplicaId to, std::uint64_t term, consensus::ReplicaId leader, Nanos now,
                      consensus::Heartbeat& heartbeat) const;
  // Handles a heartbeat from replica `from`. `term` and `leader` are this replica's current ones.
  void receive(consensus::ReplicaId from, const consensus::Heartbeat& heartbeat, std::uint64_t term,
               consensus::ReplicaId leader);
  void remove(consensus::ReplicaId id) { peers_.erase(id); }

  // The latest time, by this replica's clock, at which a majority certainly followed `leader`; 0: never. At
  // that time no other replica could commit a decision.
  Nanos quorum_confirmed_at(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count) const;
  // Time until the lease expires; 0: it has expired.
  Nanos remaining(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count, Nanos now) const {
    Nanos at = quorum_confirmed_at(term, leader, voter_count);
    return at > 0 && now - at < duration_ ? std::min(duration_, duration_ - (now - at)) : 0;
  }
  bool has_quorum(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count, Nanos now) const {
    return remaining(term, leader, voter_count, now) > 0;
  }

 private:
  struct Peer {
    std::uint64_t received_stamp = 0;  // the peer's own, to be returned
    std::uint64_t echoed_stamp = 0;    // this replica's, returned while the peer followed it
    std::uint64_t echoed_term = 0;
    std::uint64_t confirmed_stamp = 0;  // this replica's, returned while the peer led and held its lease
    std::uint64_t confirmed_term = 0;
  };
  consensus::ReplicaId self_;
  Nanos duration_;
  std::map<consensus::ReplicaId, Peer> peers_;
};

}  // namespace myrtlecroft::agreement
