// The servers that a request class runs on.
//
// Part of the fleet file and of snapshots. Plain data; shared between threads, as it never changes.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace myrtlecroft::fleet {

// Places in the fleet's list of servers, in ascending order. Shared and never changed: thousands of request
// classes may name the same zone.
struct ServerList {
  using ServerIndices = std::vector<std::uint32_t>;
  std::shared_ptr<const ServerIndices> places;  // null: all servers

  bool all() const { return !places; }
  bool operator==(const ServerList& other) const {
    return places == other.places || (places && other.places && *places == *other.places);
  }
};

}  // namespace myrtlecroft::fleet
