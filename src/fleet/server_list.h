// The list of servers that run a request class.
//
// Part of the fleet description and of snapshots. Immutable, so it may be shared between threads.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace myrtlecroft::fleet {

// Indices into the fleet's list of servers, in ascending order. Equal lists share one vector, because
// thousands of request classes may name the same zone.
struct ServerList {
  using ServerIndices = std::vector<std::uint32_t>;
  std::shared_ptr<const ServerIndices> places;  // null: all servers

  // Whether the list stands for all servers of the fleet.
  bool all() const { return !places; }
  bool operator==(const ServerList& other) const {
    return places == other.places || (places && other.places && *places == *other.places);
  }
};

}  // namespace myrtlecroft::fleet
