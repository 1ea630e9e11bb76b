#include "releases/update_queue.h"

#include <map>
#include <utility>

#include "releases/disruption_budget.h"

namespace myrtlecroft::releases {
namespace {

using routing::ServerStatus;

// The newest first: what was updated last has been observed for the shortest time.
std::vector<std::string> servers_to_roll_back(const RolloutContext& context) {
  std::vector<std::string> out;
  for (auto one = context.release.taken().rbegin(); one != context.release.taken().rend(); ++one) {
    const ServerStatus* server = context.server(one->node());
    bool reachable = server && server->last_report_at > 0 && server->report.accepts_assignments;
    if (reachable && one->failed().empty() && server->version != one->from_version() &&
        !context.leased.contains(one->node()))
      out.push_back(one->node());
  }
  return out;
}

// How far the wave has come, in servers and in thousandths of capacity.
struct WaveProgress {
  std::uint64_t fleet_capacity = 0;
  std::uint64_t updated_capacity = 0;
  unsigned updated_servers = 0;
};

struct Candidate {
  std::string node;
  std::uint64_t capacity = 0;
};

// Updated, being updated, or failed in this release: nothing is left to do for it.
bool counts_as_updated(const RolloutContext& context, const ServerStatus& server) {
  const agreement::MaintenanceLease* lease = context.maintenance.lease(server.node.name);
  if (context.has_target_version(server) || (lease && lease->reason == agreement::REASON_RELEASE))
    return true;
  auto before = context.updated.find(server.node.name);
  return before != context.updated.end() && !before->second->failed().empty();
}

bool is_wave_complete(const RolloutContext& context, const WaveProgress& progress, const Candidate& next) {
  std::uint32_t wave = context.release.wave();
  if (wave == 0) return progress.updated_servers >= context.plan.first_nodes();
  std::uint64_t target =
      progress.fleet_capacity * context.plan.waves(static_cast<int>(wave) - 1) / 1000;  // of thousandths
  return progress.updated_capacity + next.capacity > target;
}

std::vector<std::string> servers_of_the_wave(const RolloutContext& context) {
  WaveProgress progress;
  std::map<std::string, int> listed_in_zone;
  std::multimap<int, Candidate> candidates;  // by their number in their zone, so that zones take turns
  for (const ServerStatus& server : context.all_servers()) {
    std::uint64_t capacity = capacity_in_thousandths(server.node);
    progress.fleet_capacity += capacity;
    if (counts_as_updated(context, server)) {
      progress.updated_capacity += capacity;
      ++progress.updated_servers;
    } else if (!context.leased.contains(server.node.name) && server.at_full_capacity() &&
               server.report.accepts_assignments) {
      candidates.emplace(listed_in_zone[server.node.zone]++,
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
      return servers_of_the_wave(context);
    case agreement::PHASE_ROLLING_BACK:
      return servers_to_roll_back(context);
    default:
      return {};
  }
}

}  // namespace myrtlecroft::releases
