// Weighted rendezvous hashing of shards to the servers that may own them, updated incrementally.
//
// Each server has a score for each shard, and the server with the highest score wins the shard; servers with
// a higher priority number compete only if there are no others. When a server stops competing, only the
// shards that it had won are recomputed; a server that starts competing is compared with the winner of each
// shard. Owned by Shards, called on its thread. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/server_registry.h"

namespace myrtlecroft::routing {

constexpr int kNoServer = -1;  // stands for no server where an index into the registry is expected

// The winner of each shard.
class Rendezvous {
 public:
  explicit Rendezvous(std::size_t shards) : winners_(shards) {}

  // Updates the winners to the current servers. Checks each server once and recomputes only what changed
  // since the last call.
  void update(const ServerRegistry& registry);
  // Returns the index of a shard's winner among the servers of the last update(), or kNoServer.
  int winner(std::size_t shard) const { return winners_[shard].server_index; }

 private:
  // The properties of a server at the last update().
  struct Candidate {
    std::string name;
    double capacity = 0;
    int priority = 0;
    bool competes = false;
  };
  struct Winner {
    int server_index = kNoServer;
    double score = 0;
  };

  static Candidate make_candidate(const ServerStatus& server);
  void update_layout(const ServerRegistry& registry);
  void recompute_winner(std::size_t shard);
  void compete(int server_index, std::size_t shard);

  std::vector<Candidate> candidates_;    // indexed like the servers of the registry
  std::vector<Winner> winners_;          // indexed by shard
  std::uint64_t layout_generation_ = 0;  // of the registry at the last update(); 0: none yet
};

}  // namespace myrtlecroft::routing
