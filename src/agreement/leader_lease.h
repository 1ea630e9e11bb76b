// Whether this instance is in touch with a majority, and since when that is certain. Stamps of an instance's
// own clock go out with each word and come back with the next: what lay in a socket while a process stood
// still proves nothing, and no two clocks are ever compared. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "consensus/raft_node.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::agreement {

class LeaderLease {
 public:
  LeaderLease(consensus::ReplicaId self, Nanos lasts) : self_(self), lasts_(lasts) {}

  // The stamps of a word to another instance, and whom we follow.
  void fill_heartbeat(consensus::ReplicaId to, std::uint64_t term, consensus::ReplicaId leader, Nanos now,
                      consensus::Heartbeat& heartbeat) const;
  // A word that came. `term` and `leader` are ours at this moment.
  void receive(consensus::ReplicaId from, const consensus::Heartbeat& heartbeat, std::uint64_t term,
               consensus::ReplicaId leader);
  void remove(consensus::ReplicaId one) { peers_.erase(one); }

  // The latest time at which a majority was certainly behind whom we follow, or behind us; 0: never. At least
  // this long ago nobody else could decide.
  Nanos certain_at(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count) const;
  // For how long that still holds; 0: no longer.
  Nanos remaining(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count, Nanos now) const {
    Nanos at = certain_at(term, leader, voter_count);
    return at > 0 && now - at < lasts_ ? std::min(lasts_, lasts_ - (now - at)) : 0;
  }
  bool has_quorum(std::uint64_t term, consensus::ReplicaId leader, std::size_t voter_count, Nanos now) const {
    return remaining(term, leader, voter_count, now) > 0;
  }

 private:
  struct Peer {
    std::uint64_t their_stamp = 0;  // to be sent back
    std::uint64_t echoed = 0;       // ours, that came back while it followed us
    std::uint64_t echoed_term = 0;
    std::uint64_t confirmed = 0;  // ours, that came back while it led with a majority behind it
    std::uint64_t confirmed_term = 0;
  };
  consensus::ReplicaId self_;
  Nanos lasts_;
  std::map<consensus::ReplicaId, Peer> peers_;
};

}  // namespace myrtlecroft::agreement
