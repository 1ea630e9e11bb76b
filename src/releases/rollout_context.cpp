#include "releases/rollout_context.h"

#include <algorithm>

namespace myrtlecroft::releases {
namespace {

constexpr std::size_t kMaxListed = 3;  // names in a list of servers

}  // namespace

RolloutContext::RolloutContext(const View& from)
    : view(from),
      maintenance(from.committed_state.maintenance()),
      release(maintenance.release()),
      plan(release.plan()) {
  for (const routing::ServerStatus& server : all_servers()) servers[server.node.name] = &server;
  for (const auto& [node, lease] : maintenance.leases()) leased.insert(node);
  for (const agreement::UpdatedServer& server : release.taken()) updated[server.node()] = &server;
}

const routing::ServerStatus* RolloutContext::server(const std::string& name) const {
  auto found = servers.find(name);
  return found == servers.end() ? nullptr : found->second;
}

bool RolloutContext::any_lease_for(agreement::MaintenanceReason reason) const {
  return std::any_of(maintenance.leases().begin(), maintenance.leases().end(),
                     [reason](const auto& lease) { return lease.second.reason == reason; });
}

std::string truncated_list(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t i = 0; i < names.size() && i < kMaxListed; ++i) out += (i > 0 ? ", " : "") + names[i];
  if (names.size() > kMaxListed) out += " and " + std::to_string(names.size() - kMaxListed) + " more";
  return out;
}

}  // namespace myrtlecroft::releases
