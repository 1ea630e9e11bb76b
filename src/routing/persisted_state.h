// The state that routing decisions need after a restart or a change of the leader.
//
// Produced by Router, stored by routing_state, replicated by agreement. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/server_status.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// Servers, shard owners and the last snapshot.
struct PersistedState {
  // One server.
  struct Node {
    std::string name;
    ServerState state = ServerState::kAssumedHealthy;
    std::uint64_t incarnation = 0;  // 0 = not known
    double weight = 1;              // share of its capacity
    int flaps = 0;
    std::uint32_t version = 0;  // of the program or its settings, as the server reports it

    bool operator==(const Node&) const = default;
  };
  // The owner of one shard of the idempotency keys.
  struct Owner {
    std::string node;               // empty = unknown
    std::uint64_t incarnation = 0;  // of the owner when it got the shard
    bool open = false;              // the owner may run requests with keys of the shard

    bool operator==(const Owner&) const = default;
  };
  std::vector<Node> nodes;
  std::vector<Owner> shards;
  Snapshot snapshot;

  bool operator==(const PersistedState&) const = default;
};

}  // namespace myrtlecroft::routing
