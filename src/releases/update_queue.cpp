#include "releases/update_queue.h"

#include <map>
#include <utility>

#include "releases/disruption_budget.h"

namespace myrtlecroft::releases {
namespace {

using routing::ServerStatus;

// The last updated server comes first, because its new version has been observed for the shortest time.
std::vector<std::string> servers_to_roll_back(const RolloutContext& context) {
  std::vector<std::string> out;
  for (auto updated = context.release.taken().rbegin(); updated != context.release.taken().rend();
       ++updated) {
    const ServerStatus* server = context.server(updated->node());
    bool reachable = server && server->last_report_at > 0 && server->report.accepts_assignments;
    if (reachable && updated->failed().empty() && server->version != updated->from_version() &&
        !context.leased.contains(updated->node()))
      out.push_back(updated->node());
  }
  return out;
}

// Progress of the wave. Capacities are in thousandths.
struct WaveProgress {
  std::uint64_t fleet_capacity = 0;
  std::uint64_t updated_capacity = 0;
  unsigned updated_servers = 0;
};

// A server that may be updated next.
struct Candidate {
  std::string node;
  std::uint64_t capacity = 0;
};

// Returns whether the server is updated, is being updated, or failed in this release, so that the wave has no
// update left to start for it.
bool counts_as_updated(const RolloutContext& context, const ServerStatus& server) {
  const agreement::MaintenanceLease* lease = context.maintenance.lease(server.node.name);
  if (context.has_target_version(server) || (lease && lease->reason == agreement::REASON_RELEASE))
    return true;
  auto earlier_update = context.updated.find(server.node.name);
  return earlier_update != context.updated.end() && !earlier_update->second->failed().empty();
}

// Returns whether the wave has its share of servers or would exceed it with `next`.
bool is_wave_complete(const RolloutContext& context, const WaveProgress& progress, const Candidate& next) {
  std::uint32_t wave = context.release.wave();
  if (wave == 0) return progress.updated_servers >= context.plan.first_nodes();
  // The plan's shares are in thousandths.
  std::uint64_t target = progress.fleet_capacity * context.plan.waves(static_cast<int>(wave) - 1) / 1000;
  return progress.updated_capacity + next.capacity > target;
}

std::vector<std::string> servers_of_wave(const RolloutContext& context) {
  WaveProgress progress;
  std::map<std::string, int> candidates_in_zone;
  std::multimap<int, Candidate> candidates;  // by their index in their zone, so that zones alternate
  for (const ServerStatus& server : context.all_servers()) {
    std::uint64_t capacity = capacity_in_thousandths(server.node);
    progress.fleet_capacity += capacity;
    if (counts_as_updated(context, server)) {
      progress.updated_capacity += capacity;
      ++progress.updated_servers;
    } else if (!context.leased.contains(server.node.name) && server.at_full_capacity() &&
               server.report.accepts_assignments) {
      candidates.emplace(candidates_in_zone[server.node.zone]++,
                         Candidate{.node = server.node.name, .capacity = capacity});
    }
  }
  std::vector<std::string> out;
  for (const auto& [number, candidate] : candidates) {
    if (is_wave_complete(context, progress, candidate)) break;
    out.push_back(candidate.node);
    progress.updated_capacity += candidate.capacity;
    ++progress.updated_servers;
  }
  return out;
}

}  // namespace

std::vector<std::string> servers_to_update(const RolloutContext& context) {
  switch (context.release.phase()) {
    case agreement::PHASE_ROLLING:
      return servers_of_wave(context);
    case agreement::PHASE_ROLLING_BACK:
      return servers_to_roll_back(context);
    default:
      return {};
  }
}

}  // namespace myrtlecroft::releases
