// Weighted rendezvous hashing of the shards over the servers that may own them, updated by what changes.
//
// Each server draws a score for each shard, and the highest score wins it; servers of a higher priority
// number compete only where there are no others. When a server stops competing, only the shards that it had
// won are drawn again; one that starts competes once for each shard. Owned by Shards, called on its thread.
// No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/server_registry.h"

namespace myrtlecroft::routing {

constexpr int kNoServer = -1;  // in place of a server's place in the registry

class Rendezvous {
 public:
  explicit Rendezvous(std::size_t shards) : winners_(shards) {}

  // Brings the winners up to date with these servers. Costs what changed since the last call, and one look at
  // each server.
  void follow(const ServerRegistry& registry);
  // The place of a shard's winner among the servers of the last follow(), or kNoServer.
  int winner(std::size_t shard) const { return winners_[shard].place; }

 private:
  // What a server competed with at the last follow().
  struct Candidate {
    std::string name;
    double capacity = 0;
    int priority = 0;
    bool competes = false;
  };
  struct Winner {
    int place = kNoServer;
    double score = 0;
  };

  static Candidate candidate_of(const ServerStatus& server);
  void follow_layout(const ServerRegistry& registry);
  void redraw(std::size_t shard);
  void compete(int place, std::size_t shard);

  std::vector<Candidate> candidates_;  // in the order of the registry
  std::vector<Winner> winners_;        // of each shard
  std::uint64_t layout_ = 0;           // of the registry; 0: none was followed yet
};

}  // namespace myrtlecroft::routing
