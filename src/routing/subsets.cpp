// How servers are divided into subsets, and how a caller's subset is drawn.
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

// How much larger than the average a subset's part of a cell may be. Without headroom, one server that is
// removed would move many others, each into the place that the one before it left.
constexpr std::size_t kHeadroomQuarters = 5;  // 1.25
constexpr std::uint64_t kServiceSeed = 0x5e41;

// A finalizer with good avalanche (splitmix64).
std::uint64_t mixed(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::uint64_t subset_key(std::uint32_t round, std::uint32_t subset) {
  return mixed(std::uint64_t{round} << 32 | subset);
}

std::uint64_t score_of(std::uint64_t who, std::uint64_t subset) { return mixed(who ^ subset); }

// The place of the one of `count` keys that scores highest with `who`.
template <class Key>
std::uint32_t highest(std::uint64_t who, std::uint32_t count, Key key) {
  std::uint32_t best = 0;
  std::uint64_t best_score = 0;
  for (std::uint32_t at = 0; at < count; ++at) {
    std::uint64_t score = score_of(who, key(at));
    if (at > 0 && score <= best_score) continue;
    best = at;
    best_score = score;
  }
  return best;
}

// Deferred acceptance: each server proposes to the subset that scores highest with it; a subset that is full
// keeps the servers that score highest, and the one it rejects proposes to its next. The outcome does not
// depend on the order of the servers, and a server that is added or removed moves only those that prefer the
// place it takes or leaves.
class CellMatching {
 public:
  struct Cell {
    std::vector<std::uint64_t> servers;  // keys
    std::vector<std::uint64_t> subsets;  // keys
    std::size_t max;                     // servers of one subset
  };
  explicit CellMatching(Cell cell) : cell_(std::move(cell)), accepted_(cell_.subsets.size()) {
    for (std::uint32_t server = 0; server < cell_.servers.size(); ++server) place(server);
  }
  // Calls visit(subset, server) for each server, once: it empties the matching.
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
    std::size_t subset;  // as many as there are: none is left
    std::uint64_t score;
  };
  // The subset that scores highest below this score. Ties do not matter among 64 bits, and would end the
  // search.
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
  void place(std::uint32_t server) {
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
      accepted_;  // lowest on top
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
      per_round_((static_cast<std::uint32_t>(servers_.size()) + size_ - 1) / size_) {
  const std::uint32_t rounds = per_round_ > 1 ? kSubsetRounds : std::min(per_round_, 1u);
  members_.resize(std::size_t{rounds} * per_round_);
  for (std::uint32_t round = 0; round < rounds; ++round) divide(round, nodes);
  for (ServerIndices& places : members_) std::sort(places.begin(), places.end());
}

// Each zone and priority by itself, so that every subset has its part of each.
void Subsets::divide(std::uint32_t round, const std::vector<NodeRoute>& nodes) {
  std::map<std::pair<std::string_view, int>, ServerIndices> cells;
  for (std::uint32_t place : servers_) cells[{nodes[place].zone, nodes[place].priority}].push_back(place);
  for (const auto& [cell, places] : cells) divide_cell(round, places, nodes);
}

void Subsets::divide_cell(std::uint32_t round, const ServerIndices& cell,
                          const std::vector<NodeRoute>& nodes) {
  std::vector<std::uint64_t> servers;
  for (std::uint32_t place : cell) {
    const std::string& name = nodes[place].name;
    servers.push_back(XXH3_64bits(name.data(), name.size()));
  }
  std::vector<std::uint64_t> subsets;
  for (std::uint32_t subset = 0; subset < per_round_; ++subset) subsets.push_back(subset_key(round, subset));
  const std::size_t average_up = (cell.size() + per_round_ - 1) / per_round_;
  const std::size_t with_headroom = kHeadroomQuarters * cell.size() / (4 * std::size_t{per_round_});
  CellMatching matching({.servers = std::move(servers),
                         .subsets = std::move(subsets),
                         .max = std::max(average_up, with_headroom)});
  matching.for_each([&](std::size_t subset, std::uint32_t server) {
    members_[std::size_t{round} * per_round_ + subset].push_back(cell[server]);
  });
}

// First the round, then the subset in it: as many hashes as there are rounds and subsets in one, not in all.
std::size_t Subsets::subset_of_caller(std::uint64_t caller, std::uint64_t service) const {
  if (members_.size() <= 1) return 0;
  const std::uint64_t who = mixed(caller ^ service);
  const std::uint32_t round =
      highest(who, kSubsetRounds, [](std::uint32_t at) { return subset_key(at, ~0u); });
  const std::uint32_t subset =
      highest(who, per_round_, [round](std::uint32_t at) { return subset_key(round, at); });
  return std::size_t{round} * per_round_ + subset;
}

void Subsets::append_healthy(std::size_t subset, const std::vector<NodeRoute>& nodes,
                             ServerIndices& out) const {
  for (std::uint32_t place : members_[subset]) {
    if (nodes[place].health == Health::kHealthy) out.push_back(place);
  }
}

Subsets::ServerIndices Subsets::in_service(std::size_t subset, const std::vector<NodeRoute>& nodes) const {
  const std::size_t first_of_round = subset / per_round_ * per_round_;
  ServerIndices out;
  append_healthy(subset, nodes, out);
  for (std::size_t step = 1; step < per_round_ && out.size() < min_in_service(); ++step) {
    append_healthy(first_of_round + (subset - first_of_round + step) % per_round_, nodes, out);
  }
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace myrtlecroft::routing
