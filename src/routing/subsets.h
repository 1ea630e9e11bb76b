// Deterministic subsets of the servers of a request class, and the selection of a caller's subset.
//
// Subsets depend only on names, zones and priorities, so they are the same on every replica and after
// restarts, and a server's health never changes them. docs/design/subsetting.md explains the reasons and the
// limits. Built by xds for each placement and immutable afterwards; any thread. No I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// Number of independent divisions of the servers of a service into subsets. In each round every server is in
// exactly one subset.
constexpr std::uint32_t kSubsetRounds = 8;

// Returns the hash that identifies a caller, computed from its id and zone.
std::uint64_t caller_key(std::string_view id, std::string_view zone);
// Returns the hash that identifies a service, computed from its name.
std::uint64_t service_key(std::string_view service);

// The subsets of one list of servers.
class Subsets {
 public:
  using ServerIndices = fleet::ServerList::ServerIndices;

  // `servers`: indices into `nodes`. `size`: target number of servers in a subset, from 1 to servers.size().
  Subsets(const std::vector<NodeRoute>& nodes, ServerIndices servers, std::uint32_t size);

  // Returns the number of subsets of all rounds together.
  std::size_t count() const { return members_.size(); }
  std::uint32_t size() const { return size_; }
  const ServerIndices& servers() const { return servers_; }
  // Returns the servers of a subset regardless of their health.
  const ServerIndices& members(std::size_t subset) const { return members_[subset]; }
  // Returns the index of a caller's subset. Takes the results of caller_key() and service_key().
  std::size_t subset_of_caller(std::uint64_t caller, std::uint64_t service) const;
  // A subset with fewer servers in service than this is filled up: half the target size, rounded up.
  std::size_t min_in_service() const { return (size_ + 1) / 2; }
  // Returns the healthy servers of a subset. A subset with fewer than min_in_service() is filled up from the
  // next subsets of its round, so that none is empty while any server is in service.
  ServerIndices in_service(std::size_t subset, const std::vector<NodeRoute>& nodes) const;

 private:
  void append_healthy(std::size_t subset, const std::vector<NodeRoute>& nodes, ServerIndices& out) const;
  void assign_round(std::uint32_t round, const std::vector<NodeRoute>& nodes);
  void assign_cell(std::uint32_t round, const ServerIndices& cell, const std::vector<NodeRoute>& nodes);

  ServerIndices servers_;
  std::uint32_t size_;
  std::uint32_t subsets_per_round_;
  std::vector<ServerIndices> members_;  // ordered by round, then by subset within the round
};

}  // namespace myrtlecroft::routing
