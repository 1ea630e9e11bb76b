// What the decision step must know again after a restart, or when another instance takes the lead.
//
// Made by Router, stored by routing_state, agreed on by agreement. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/server_status.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

struct PersistedState {
  struct Node {
    std::string name;
    ServerState state = ServerState::kAssumedHealthy;
    std::uint64_t incarnation = 0;  // 0 = not known
    double weight = 1;              // share of its capacity
    int flaps = 0;
    std::uint32_t version = 0;  // of the program or its settings, by the server's own report

    bool operator==(const Node&) const = default;
  };
  // Of one shard of the keys.
  struct Owner {
    std::string node;               // empty = unknown
    std::uint64_t incarnation = 0;  // of the owner, when it got the shard
    bool open = false;              // the owner may run the shard's keys

    bool operator==(const Owner&) const = default;
  };
  std::vector<Node> nodes;
  std::vector<Owner> shards;
  Snapshot snapshot;

  bool operator==(const PersistedState&) const = default;
};

}  // namespace myrtlecroft::routing
