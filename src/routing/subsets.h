// Deterministic subsets of the servers of a request class, and which of them a caller gets.
//
// The assignment is made from names, zones and priorities alone, so that it is the same on every instance and
// after restarts, and health never moves it. docs/design/subsetting.md has the reasons and the bounds. Made
// by xds for each placement, never changed afterwards; any thread. No I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// Times that the servers of a service are divided again. In each round every server is in exactly one subset.
constexpr std::uint32_t kSubsetRounds = 8;

// The hash that stands for a caller, from its id and zone.
std::uint64_t caller_key(std::string_view id, std::string_view zone);
// The hash that stands for a service, from its name.
std::uint64_t service_key(std::string_view service);

class Subsets {
 public:
  using ServerIndices = fleet::ServerList::ServerIndices;

  // `size`: servers that a subset should have; from 1 to as many as there are.
  Subsets(const std::vector<NodeRoute>& nodes, ServerIndices servers, std::uint32_t size);

  // Of all rounds together.
  std::size_t count() const { return members_.size(); }
  std::uint32_t size() const { return size_; }
  const ServerIndices& servers() const { return servers_; }
  // By the fleet file, whatever the servers' health.
  const ServerIndices& members(std::size_t subset) const { return members_[subset]; }
  // The subset of a caller; both are keys as above.
  std::size_t subset_of_caller(std::uint64_t caller, std::uint64_t service) const;
  // A subset with fewer servers in service is filled up: half its size.
  std::size_t min_in_service() const { return (size_ + 1) / 2; }
  // The servers that a subset has in service. One with fewer than min_in_service() is filled up from those
  // after it in its round: none is empty while a server is in service.
  ServerIndices in_service(std::size_t subset, const std::vector<NodeRoute>& nodes) const;

 private:
  void append_healthy(std::size_t subset, const std::vector<NodeRoute>& nodes, ServerIndices& out) const;
  void divide(std::uint32_t round, const std::vector<NodeRoute>& nodes);
  void divide_cell(std::uint32_t round, const ServerIndices& cell, const std::vector<NodeRoute>& nodes);

  ServerIndices servers_;
  std::uint32_t size_;
  std::uint32_t per_round_;
  std::vector<ServerIndices> members_;  // by round, then by place within it
};

}  // namespace myrtlecroft::routing
