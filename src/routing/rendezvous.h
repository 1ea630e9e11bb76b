// Weighted rendezvous hashing of the shards over the servers that may own them, kept up to date by what
// changes.
//
// Each server draws a score for each shard, and the highest score wins it; servers of a higher priority
// number compete only where there are no others. A server that leaves redraws only the shards that it had
// won, and one that joins competes once for each shard. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/server_registry.h"

namespace myrtlecroft::routing {

constexpr int kNobody = -1;  // in place of a place among the members

class Rendezvous {
 public:
  explicit Rendezvous(std::size_t shards) : winners_(shards) {}

  // Brings the winners up to date with these members.
  void follow(const ServerRegistry& registry);
  // The place of a shard's winner among the members of the last follow(), or kNobody.
  int winner(std::size_t shard) const { return winners_[shard].place; }

 private:
  // A member as it stood at the last follow().
  struct Candidate {
    std::string name;
    double capacity = 0;
    int priority = 0;
    bool competes = false;
  };
  struct Winner {
    int place = kNobody;
    double score = 0;
  };

  static Candidate candidate_of(const ServerStatus& server);
  void follow_layout(const ServerRegistry& registry);
  void redraw(std::size_t shard);
  void compete(int place, std::size_t shard);

  std::vector<Candidate> candidates_;  // in the order of the members
  std::vector<Winner> winners_;        // of each shard
  std::uint64_t layout_ = 0;           // of the members; 0: none was followed yet
};

}  // namespace myrtlecroft::routing
