// Builds each part of a snapshot and suppresses small changes of its values.
#include "routing/snapshot_builder.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_map>

#include "routing/retry_policy.h"

namespace myrtlecroft::routing {
namespace {

constexpr double kWeightScale = 100;       // published weights are in hundredths of a unit of capacity
constexpr double kMinWeightChange = 0.05;  // share of the published weight
constexpr double kInFlightHeadroom = 1.5;  // factor over an even share, because load is uneven over proxies
constexpr double kMinInFlight = 4;  // for each proxy: a lower limit would apply before the server's own
constexpr double kMinInFlightChange = 0.25;  // share of the published limit
constexpr double kRetryAfterShare = 0.25;    // of the latency objective, after a rejection by a proxy
constexpr double kTenThousandths = 10'000;

// Finds the servers of a snapshot by name. A server is found at its index without a lookup if the snapshot
// was built from the same fleet file.
class RouteIndex {
 public:
  explicit RouteIndex(const Snapshot* snapshot) : snapshot_(snapshot) {}

  const NodeRoute* find(const std::string& name, std::size_t expected_index) {
    if (!snapshot_) return nullptr;
    const std::vector<NodeRoute>& nodes = snapshot_->nodes;
    if (expected_index < nodes.size() && nodes[expected_index].name == name) return &nodes[expected_index];
    if (by_name_.empty()) {
      for (const NodeRoute& node : nodes) by_name_.emplace(node.name, &node);
    }
    auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
  }

 private:
  const Snapshot* snapshot_;
  std::unordered_map<std::string, const NodeRoute*> by_name_;  // never iterated
};

struct PublishedValue {
  std::uint32_t previous = 0;  // 0 = none
  double min_change = 0;       // as a share of `previous`
};

// Returns the previous value if the new one differs from it by less than `min_change`, else the new value.
std::uint32_t suppress_small_change(double value, const PublishedValue& published) {
  double previous = published.previous;
  bool close = published.previous > 0 && std::abs(value - previous) < published.min_change * previous;
  return close ? published.previous : static_cast<std::uint32_t>(std::max(1.0, std::round(value)));
}

std::uint32_t compute_published_weight(const ServerStatus& server, const NodeRoute* previous) {
  double full = kWeightScale * server.node.capacity;
  double weight = kWeightScale * server.effective_capacity();
  bool is_full_weight = weight >= full;  // the final value of a rising weight is published exactly
  return suppress_small_change(weight, {.previous = previous && !is_full_weight ? previous->weight : 0,
                                        .min_change = kMinWeightChange});
}

// All proxies together may have as many requests in flight to a server as its window has positions, plus its
// limit of running requests.
std::uint32_t max_in_flight_per_proxy(const ServerStatus& server, const NodeRoute* previous, int proxies) {
  if (server.last_report_at == 0) return previous ? previous->in_flight : 0;
  double capacity = static_cast<double>(server.report.window) + server.report.limit;
  double each = std::max(kMinInFlight, kInFlightHeadroom * capacity / proxies);
  return suppress_small_change(
      each, {.previous = previous ? previous->in_flight : 0, .min_change = kMinInFlightChange});
}

NodeRoute build_node_route(const ServerStatus& server, const NodeRoute* previous, int proxies) {
  NodeRoute out{.name = server.node.name,
                .zone = server.node.zone,
                .host = server.node.host,
                .port = server.node.port,
                .priority = server.node.priority};
  if (previous) out.in_flight = previous->in_flight;
  if (server.in_service()) {
    out.health = Health::kHealthy;
    out.weight = compute_published_weight(server, previous);
    out.in_flight = max_in_flight_per_proxy(server, previous, proxies);
  } else if (server.out_for_maintenance || server.state == ServerState::kDraining) {
    out.health = Health::kDraining;
  }
  return out;
}

RequestClassRoute build_request_class_route(const fleet::RequestClass& request_class,
                                            const fleet::Bounds& bounds) {
  RequestClassRoute out{.name = request_class.name,
                        .path = request_class.path,
                        .idempotency = request_class.idempotency,
                        .key_header = request_class.key_header,
                        .timeout = request_class.client_timeout,
                        .retry_policy = retry_policy_for(request_class, bounds)};
  out.retry_after =
      static_cast<Nanos>(kRetryAfterShare * static_cast<double>(request_class.latency_objective));
  out.servers = request_class.servers;  // snapshots list servers in the order of the fleet file
  out.subset_size = request_class.subset_size;
  return out;
}

}  // namespace

Snapshot build_snapshot(const SnapshotInputs& inputs, const Snapshot* previous) {
  const fleet::Fleet& fleet = inputs.fleet;
  const std::vector<ServerStatus>& servers = inputs.registry.all();
  Snapshot out;
  out.listener = fleet.listener;
  out.shard_digits = fleet.bounds.shard_digits;
  out.retry_budget = fleet.bounds.retry_budget;
  out.expected_proxies = fleet.proxies;
  out.closed_retry_after = fleet.longest_deduplication_window();
  out.service_listeners = fleet.service_listeners;
  RouteIndex previous_routes(previous);
  out.nodes.reserve(servers.size());
  for (std::size_t server_index = 0; server_index < servers.size(); ++server_index) {
    const NodeRoute* previous_route = previous_routes.find(servers[server_index].node.name, server_index);
    out.nodes.push_back(build_node_route(servers[server_index], previous_route, fleet.proxies));
  }
  for (std::size_t at = 0; at < fleet.request_classes.size(); ++at) {
    out.request_classes.push_back(build_request_class_route(fleet.request_classes[at], fleet.bounds));
    if (at < inputs.admitted.size()) out.request_classes.back().admitted = inputs.admitted[at];
  }
  for (const fleet::Tenant& tenant : fleet.tenants) {
    auto quota = static_cast<std::uint32_t>(std::lround(tenant.quota * kTenThousandths));
    out.tenants.push_back({.name = tenant.name, .quota = quota});
  }
  // A snapshot lists the servers in the order of the registry, so the indices are the same.
  static_assert(kClosed == kNoServer);
  for (std::size_t at = 0; at < inputs.shards.all().size(); ++at)
    out.shards.push_back(inputs.shards.open_owner_index(at));
  return out;
}

bool is_current(const Snapshot& published, const SnapshotInputs& inputs) {
  for (std::size_t at = 0; at < published.shards.size(); ++at) {
    if (published.shards[at] != inputs.shards.open_owner_index(at)) return false;
  }
  for (std::size_t server_index = 0; server_index < published.nodes.size(); ++server_index) {
    const NodeRoute& node = published.nodes[server_index];
    if (build_node_route(inputs.registry.all()[server_index], &node, inputs.fleet.proxies) != node)
      return false;
  }
  return true;
}

}  // namespace myrtlecroft::routing
