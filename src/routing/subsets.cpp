// Divides servers into subsets and selects a caller's subset by hashing.
#include "routing/subsets.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>

namespace myrtlecroft::routing {
namespace {

// Limits a subset's share of a cell, as a multiple of the average in quarters. Without headroom, the removal
// of one server would move many others, each into the position that the previous one left.
constexpr std::size_t kHeadroomQuarters = 5;    // 1.25
constexpr std::uint64_t kServiceSeed = 0x5e41;  // separates the hashes of services from those of callers

// The splitmix64 finalizer, which has good avalanche properties.
std::uint64_t mix64(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::uint64_t subset_key(std::uint32_t round, std::uint32_t subset) {
  return mix64(std::uint64_t{round} << 32 | subset);
}

std::uint64_t score_of(std::uint64_t subject_key, std::uint64_t subset) {
  return mix64(subject_key ^ subset);
}

// Returns the index of the one of `count` keys that has the highest score with `subject_key`.
template <class Key>
std::uint32_t highest_scoring(std::uint64_t subject_key, std::uint32_t count, Key key) {
  std::uint32_t best = 0;
  std::uint64_t best_score = 0;
  for (std::uint32_t at = 0; at < count; ++at) {
    std::uint64_t score = score_of(subject_key, key(at));
    if (at > 0 && score <= best_score) continue;
    best = at;
    best_score = score;
  }
  return best;
}

// Matches the servers of one zone and priority (a cell) to subsets by deferred acceptance: each server
// proposes to the subset with the highest score for it. A full subset keeps the servers with the highest
// scores, and the server that it rejects proposes to its next choice. The result does not depend on the order
// of the servers, and adding or removing a server moves only servers that prefer the position that it takes
// or leaves.
class CellMatching {
 public:
  struct Cell {
    std::vector<std::uint64_t> servers;  // hashes of their names
    std::vector<std::uint64_t> subsets;  // subset keys
    std::size_t max;                     // servers in one subset
  };
  explicit CellMatching(Cell cell) : cell_(std::move(cell)), accepted_(cell_.subsets.size()) {
    for (std::uint32_t server = 0; server < cell_.servers.size(); ++server) match_server(server);
  }
  // Calls visit(subset, server) for each server. May be called only once, because it empties the matching.
  template <class Visit>
  void for_each(Visit visit) {
    for (std::size_t subset = 0; subset < accepted_.size(); ++subset) {
      for (; !accepted_[subset].empty(); accepted_[subset].pop())
        visit(subset, accepted_[subset].top().server);
    }
  }

 private:
  struct Proposal {
    std::uint64_t score = 0;
    std::uint32_t server = 0;
    bool operator>(const Proposal& other) const {
      return std::pair(score, server) > std::pair(other.score, other.server);
    }
  };
  struct Choice {
    std::size_t subset;  // the number of subsets if no choice is left
    std::uint64_t score;
  };
  // Returns the subset with the highest score less than `below`. Equal scores would end the search, but
  // 64-bit scores make them negligible.
  Choice next_choice(std::uint32_t server, std::optional<std::uint64_t> below) const {
    Choice best{.subset = cell_.subsets.size(), .score = 0};
    for (std::size_t subset = 0; subset < cell_.subsets.size(); ++subset) {
      std::uint64_t score = score_of(cell_.servers[server], cell_.subsets[subset]);
      bool tried = below && score >= *below;
      if (tried || (best.subset < cell_.subsets.size() && score <= best.score)) continue;
      best = {subset, score};
    }
    return best;
  }
  void match_server(std::uint32_t server) {
    std::optional<std::uint64_t> below;
    for (;;) {
      Choice choice = next_choice(server, below);
      if (choice.subset == cell_.subsets.size()) return;
      auto& accepted = accepted_[choice.subset];
      accepted.push({choice.score, server});
      if (accepted.size() <= cell_.max) return;
      Proposal rejected = accepted.top();
      accepted.pop();
      server = rejected.server;
      below = rejected.score;
    }
  }

  Cell cell_;
  std::vector<std::priority_queue<Proposal, std::vector<Proposal>, std::greater<>>>
      accepted_;  // lowest score on top
};

}  // namespace

std::uint64_t caller_key(std::string_view id, std::string_view zone) {
  return XXH3_64bits_withSeed(id.data(), id.size(), XXH3_64bits(zone.data(), zone.size()));
}

std::uint64_t service_key(std::string_view service) {
  return XXH3_64bits_withSeed(service.data(), service.size(), kServiceSeed);
}

Subsets::Subsets(const std::vector<NodeRoute>& nodes, ServerIndices servers, std::uint32_t size)
    : servers_(std::move(servers)),
      size_(std::max(1u, size)),
      subsets_per_round_((static_cast<std::uint32_t>(servers_.size()) + size_ - 1) / size_) {
  const std::uint32_t rounds = subsets_per_round_ > 1 ? kSubsetRounds : std::min(subsets_per_round_, 1u);
  members_.resize(std::size_t{rounds} * subsets_per_round_);
  for (std::uint32_t round = 0; round < rounds; ++round) assign_round(round, nodes);
  for (ServerIndices& indices : members_) std::sort(indices.begin(), indices.end());
}

// Divides each zone and priority separately, so that every subset has its share of each.
void Subsets::assign_round(std::uint32_t round, const std::vector<NodeRoute>& nodes) {
  std::map<std::pair<std::string_view, int>, ServerIndices> cells;
  for (std::uint32_t server_index : servers_)
    cells[{nodes[server_index].zone, nodes[server_index].priority}].push_back(server_index);
  for (const auto& [cell, indices] : cells) assign_cell(round, indices, nodes);
}

void Subsets::assign_cell(std::uint32_t round, const ServerIndices& cell,
                          const std::vector<NodeRoute>& nodes) {
  std::vector<std::uint64_t> servers;
  for (std::uint32_t server_index : cell) {
    const std::string& name = nodes[server_index].name;
    servers.push_back(XXH3_64bits(name.data(), name.size()));
  }
  std::vector<std::uint64_t> subsets;
  for (std::uint32_t subset = 0; subset < subsets_per_round_; ++subset)
    subsets.push_back(subset_key(round, subset));
  const std::size_t average_rounded_up = (cell.size() + subsets_per_round_ - 1) / subsets_per_round_;
  const std::size_t with_headroom = kHeadroomQuarters * cell.size() / (4 * std::size_t{subsets_per_round_});
  CellMatching matching({.servers = std::move(servers),
                         .subsets = std::move(subsets),
                         .max = std::max(average_rounded_up, with_headroom)});
  matching.for_each([&](std::size_t subset, std::uint32_t server) {
    members_[std::size_t{round} * subsets_per_round_ + subset].push_back(cell[server]);
  });
}

// Selects first the round and then a subset in it, which needs one hash for each round and for each subset of
// one round instead of one for each subset of all rounds.
std::size_t Subsets::subset_of_caller(std::uint64_t caller, std::uint64_t service) const {
  if (members_.size() <= 1) return 0;
  const std::uint64_t subject_key = mix64(caller ^ service);
  const std::uint32_t round =
      highest_scoring(subject_key, kSubsetRounds, [](std::uint32_t at) { return subset_key(at, ~0u); });
  const std::uint32_t subset = highest_scoring(subject_key, subsets_per_round_,
                                               [round](std::uint32_t at) { return subset_key(round, at); });
  return std::size_t{round} * subsets_per_round_ + subset;
}

void Subsets::append_healthy(std::size_t subset, const std::vector<NodeRoute>& nodes,
                             ServerIndices& out) const {
  for (std::uint32_t server_index : members_[subset]) {
    if (nodes[server_index].health == Health::kHealthy) out.push_back(server_index);
  }
}

Subsets::ServerIndices Subsets::in_service(std::size_t subset, const std::vector<NodeRoute>& nodes) const {
  const std::size_t first_of_round = subset / subsets_per_round_ * subsets_per_round_;
  ServerIndices out;
  append_healthy(subset, nodes, out);
  for (std::size_t step = 1; step < subsets_per_round_ && out.size() < min_in_service(); ++step) {
    append_healthy(first_of_round + (subset - first_of_round + step) % subsets_per_round_, nodes, out);
  }
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace myrtlecroft::routing
