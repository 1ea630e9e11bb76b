// Computes the scores and updates the winners after changes of the servers.
#include "routing/rendezvous.h"

#include <cmath>

// Inlined: the hash of such a short input takes less time than a function call.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace myrtlecroft::routing {
namespace {

constexpr double kHashRange = 9007199254740992.0;  // 2^53
constexpr double kRoundingTolerance = 1e-9;        // larger than the rounding error of a score

// Hashes the server's name and the shard to the interval (0, 1). The result is the same on every replica and
// after every restart.
double uniform_hash(const std::string& name, std::size_t shard) {
  std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), shard);
  return (static_cast<double>(hash >> 11) + 0.5) / kHashRange;
}

// Shows without a logarithm, for most values, that a score does not exceed `best_score`: -log(uniform) is at
// least 1 - uniform.
bool cannot_win(double uniform, double capacity, double best_score) {
  return capacity * (1 + kRoundingTolerance) < best_score * (1 - uniform);
}

}  // namespace

Rendezvous::Candidate Rendezvous::make_candidate(const ServerStatus& server) {
  return {.name = server.node.name,
          .capacity = server.node.capacity,
          .priority = server.node.priority,
          .competes = server.in_service() && !server.kept_in_rotation};
}

// Adapts to a new fleet file, in which servers have other indices: winners keep their shards, and servers
// that the file no longer names stop competing.
void Rendezvous::update_layout(const ServerRegistry& registry) {
  std::vector<int> new_indices(candidates_.size(), kNoServer);
  std::vector<Candidate> next(registry.all().size());
  for (std::size_t server_index = 0; server_index < next.size(); ++server_index)
    next[server_index].name = registry.all()[server_index].node.name;
  for (std::size_t old_index = 0; old_index < candidates_.size(); ++old_index) {
    new_indices[old_index] = registry.index_of(candidates_[old_index].name);
    if (new_indices[old_index] != kNoServer)
      next[static_cast<std::size_t>(new_indices[old_index])] = candidates_[old_index];
  }
  candidates_ = std::move(next);
  layout_generation_ = registry.layout_generation();
  std::vector<std::size_t> shards_without_winner;
  for (std::size_t shard = 0; shard < winners_.size(); ++shard) {
    Winner& winner = winners_[shard];
    if (winner.server_index == kNoServer) continue;
    winner.server_index = new_indices[static_cast<std::size_t>(winner.server_index)];
    if (winner.server_index == kNoServer) shards_without_winner.push_back(shard);
  }
  for (std::size_t shard : shards_without_winner) recompute_winner(shard);
}

void Rendezvous::update(const ServerRegistry& registry) {
  if (layout_generation_ != registry.layout_generation()) update_layout(registry);
  std::vector<bool> stopped(candidates_.size(), false);
  std::vector<int> started;
  bool any_stopped = false;
  for (std::size_t server_index = 0; server_index < candidates_.size(); ++server_index) {
    const ServerStatus& server = registry.all()[server_index];
    Candidate& previous = candidates_[server_index];
    bool competes = server.in_service() && !server.kept_in_rotation;
    bool unchanged = previous.competes == competes && previous.capacity == server.node.capacity &&
                     previous.priority == server.node.priority;
    if (unchanged) continue;
    // A change of capacity or priority counts as stopping with the old values and starting with the new ones.
    stopped[server_index] = previous.competes;
    any_stopped = any_stopped || previous.competes;
    if (competes) started.push_back(static_cast<int>(server_index));
    previous = make_candidate(server);
  }
  if (!any_stopped && started.empty()) return;
  for (std::size_t shard = 0; shard < winners_.size(); ++shard) {
    int server_index = winners_[shard].server_index;
    if (server_index != kNoServer && stopped[static_cast<std::size_t>(server_index)]) {
      recompute_winner(shard);  // `candidates_` already has the servers that started
      continue;
    }
    for (int one : started) compete(one, shard);
  }
}

void Rendezvous::recompute_winner(std::size_t shard) {
  winners_[shard] = Winner{};
  for (std::size_t server_index = 0; server_index < candidates_.size(); ++server_index) {
    if (candidates_[server_index].competes) compete(static_cast<int>(server_index), shard);
  }
}

// Makes the server the shard's winner if it has a better priority or score than the current one. Of two equal
// scores the smaller name wins, so that the order of the fleet file has no effect.
void Rendezvous::compete(int server_index, std::size_t shard) {
  const Candidate& candidate = candidates_[static_cast<std::size_t>(server_index)];
  Winner& winner = winners_[shard];
  const Candidate* best = winner.server_index == kNoServer
                              ? nullptr
                              : &candidates_[static_cast<std::size_t>(winner.server_index)];
  if (best && candidate.priority > best->priority) return;
  double uniform = uniform_hash(candidate.name, shard);
  bool outranks = !best || candidate.priority < best->priority;
  if (!outranks && cannot_win(uniform, candidate.capacity, winner.score)) return;
  double score = candidate.capacity / -std::log(uniform);
  bool wins = outranks || score > winner.score || (score == winner.score && candidate.name < best->name);
  if (wins) winner = {server_index, score};
}

}  // namespace myrtlecroft::routing
