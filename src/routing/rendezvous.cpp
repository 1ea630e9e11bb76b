// The draws, and which of them a change of the servers makes again.
#include "routing/rendezvous.h"

#include <cmath>

// Inlined: a draw is shorter than a call.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace myrtlecroft::routing {
namespace {

constexpr double kDraws = 9007199254740992.0;  // 2^53
constexpr double kRounding = 1e-9;             // more than the arithmetic of a score is off by

// In (0, 1), from the server's name and the shard alone: the same on every instance and after every restart.
double draw_of(const std::string& name, std::size_t shard) {
  std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), shard);
  return (static_cast<double>(hash >> 11) + 0.5) / kDraws;
}

// -log(draw) is at least 1 - draw: for most draws this shows without a logarithm that they lose.
bool surely_loses(double draw, double capacity, double best_score) {
  return capacity * (1 + kRounding) < best_score * (1 - draw);
}

}  // namespace

Rendezvous::Candidate Rendezvous::candidate_of(const ServerStatus& server) {
  return {.name = server.node.name,
          .capacity = server.node.capacity,
          .priority = server.node.priority,
          .competes = server.in_service() && !server.kept_in_rotation};
}

// Another fleet file moves servers to other places: winners keep their shards, and servers that it doesn't
// name no longer compete.
void Rendezvous::follow_layout(const ServerRegistry& registry) {
  std::vector<int> places(candidates_.size(), kNoServer);
  std::vector<Candidate> next(registry.all().size());
  for (std::size_t place = 0; place < next.size(); ++place)
    next[place].name = registry.all()[place].node.name;
  for (std::size_t before = 0; before < candidates_.size(); ++before) {
    places[before] = registry.index_of(candidates_[before].name);
    if (places[before] != kNoServer) next[static_cast<std::size_t>(places[before])] = candidates_[before];
  }
  candidates_ = std::move(next);
  layout_ = registry.layout_generation();
  std::vector<std::size_t> orphans;
  for (std::size_t shard = 0; shard < winners_.size(); ++shard) {
    Winner& winner = winners_[shard];
    if (winner.place == kNoServer) continue;
    winner.place = places[static_cast<std::size_t>(winner.place)];
    if (winner.place == kNoServer) orphans.push_back(shard);
  }
  for (std::size_t shard : orphans) redraw(shard);
}

void Rendezvous::follow(const ServerRegistry& registry) {
  if (layout_ != registry.layout_generation()) follow_layout(registry);
  std::vector<bool> left(candidates_.size(), false);
  std::vector<int> joined;
  bool any_left = false;
  for (std::size_t place = 0; place < candidates_.size(); ++place) {
    const ServerStatus& server = registry.all()[place];
    Candidate& before = candidates_[place];
    bool competes = server.in_service() && !server.kept_in_rotation;
    bool same = before.competes == competes && before.capacity == server.node.capacity &&
                before.priority == server.node.priority;
    if (same) continue;
    // One whose capacity or priority changes stops with the old values and starts with the new ones.
    left[place] = before.competes;
    any_left = any_left || before.competes;
    if (competes) joined.push_back(static_cast<int>(place));
    before = candidate_of(server);
  }
  if (!any_left && joined.empty()) return;
  for (std::size_t shard = 0; shard < winners_.size(); ++shard) {
    int place = winners_[shard].place;
    if (place != kNoServer && left[static_cast<std::size_t>(place)]) {
      redraw(shard);  // those that joined are among the candidates already
      continue;
    }
    for (int one : joined) compete(one, shard);
  }
}

void Rendezvous::redraw(std::size_t shard) {
  winners_[shard] = Winner{};
  for (std::size_t place = 0; place < candidates_.size(); ++place) {
    if (candidates_[place].competes) compete(static_cast<int>(place), shard);
  }
}

// Of two equal scores the smaller name wins, so that the order of the fleet file has no effect.
void Rendezvous::compete(int place, std::size_t shard) {
  const Candidate& one = candidates_[static_cast<std::size_t>(place)];
  Winner& winner = winners_[shard];
  const Candidate* best =
      winner.place == kNoServer ? nullptr : &candidates_[static_cast<std::size_t>(winner.place)];
  if (best && one.priority > best->priority) return;
  double draw = draw_of(one.name, shard);
  bool outranks = !best || one.priority < best->priority;
  if (!outranks && surely_loses(draw, one.capacity, winner.score)) return;
  double score = one.capacity / -std::log(draw);
  bool wins = outranks || score > winner.score || (score == winner.score && one.name < best->name);
  if (wins) winner = {place, score};
}

}  // namespace myrtlecroft::routing
