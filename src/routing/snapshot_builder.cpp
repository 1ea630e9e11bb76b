// The parts of a snapshot, one function each.
#include "routing/snapshot_builder.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_map>

#include "routing/retry_policy.h"

namespace myrtlecroft::routing {
namespace {

constexpr double kWeightScale = 100;       // published weights: hundredths of a capacity of one
constexpr double kMinWeightChange = 0.05;  // share of the published weight
constexpr double kInFlightHeadroom = 1.5;  // proxies are uneven: each gets this much more than its even part
constexpr double kMinInFlight = 4;         // for each proxy: fewer would bind before the server does
constexpr double kMinInFlightChange = 0.25;  // share of the published bound
constexpr double kRetryAfterShare = 0.25;    // of the latency objective, after a rejection by a proxy
constexpr double kTenThousandths = 10'000;

// The servers of a snapshot by name. Where it was built from the same fleet file, a server is found at its
// place.
class RouteIndex {
 public:
  explicit RouteIndex(const Snapshot* snapshot) : snapshot_(snapshot) {}

  const NodeRoute* find(const std::string& name, std::size_t likely_place) {
    if (!snapshot_) return nullptr;
    const std::vector<NodeRoute>& nodes = snapshot_->nodes;
    if (likely_place < nodes.size() && nodes[likely_place].name == name) return &nodes[likely_place];
    if (by_name_.empty()) {
      for (const NodeRoute& node : nodes) by_name_.emplace(node.name, &node);
    }
    auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
  }

 private:
  const Snapshot* snapshot_;
  std::unordered_map<std::string, const NodeRoute*> by_name_;  // only looked up
};

struct PublishedFigure {
  std::uint32_t before = 0;  // 0 = none
  double min_change = 0;     // share of it
};

// The figure published before, where the new one differs by less than the least change.
std::uint32_t damped(double value, const PublishedFigure& published) {
  double before = published.before;
  bool close = published.before > 0 && std::abs(value - before) < published.min_change * before;
  return close ? published.before : static_cast<std::uint32_t>(std::max(1.0, std::round(value)));
}

std::uint32_t weight_of(const ServerStatus& server, const NodeRoute* before) {
  double full = kWeightScale * server.node.capacity;
  double weight = kWeightScale * server.effective_capacity();
  bool is_full = weight >= full;  // a final value is published exactly
  return damped(weight, {.before = before && !is_full ? before->weight : 0, .min_change = kMinWeightChange});
}

// The positions of its window and what it runs at once are what all proxies together may have in flight
// there.
std::uint32_t in_flight_of(const ServerStatus& server, const NodeRoute* before, int proxies) {
  if (server.last_report_at == 0) return before ? before->in_flight : 0;
  double capacity = static_cast<double>(server.report.window) + server.report.limit;
  double each = std::max(kMinInFlight, kInFlightHeadroom * capacity / proxies);
  return damped(each, {.before = before ? before->in_flight : 0, .min_change = kMinInFlightChange});
}

NodeRoute route_to(const ServerStatus& server, const NodeRoute* before, int proxies) {
  NodeRoute out{.name = server.node.name,
                .zone = server.node.zone,
                .host = server.node.host,
                .port = server.node.port,
                .priority = server.node.priority};
  if (before) out.in_flight = before->in_flight;
  if (server.in_service()) {
    out.health = Health::kHealthy;
    out.weight = weight_of(server, before);
    out.in_flight = in_flight_of(server, before, proxies);
  } else if (server.out_for_maintenance || server.state == ServerState::kDraining) {
    out.health = Health::kDraining;
  }
  return out;
}

RequestClassRoute route_of(const fleet::RequestClass& request_class, const fleet::Bounds& bounds) {
  RequestClassRoute out{.name = request_class.name,
                        .path = request_class.path,
                        .idempotency = request_class.idempotency,
                        .key_header = request_class.key_header,
                        .timeout = request_class.client_timeout,
                        .retry_policy = retry_policy_for(request_class, bounds)};
  out.retry_after =
      static_cast<Nanos>(kRetryAfterShare * static_cast<double>(request_class.latency_objective));
  out.servers = request_class.servers;  // servers stand in the order of the file
  out.subset_size = request_class.subset_size;
  return out;
}

}  // namespace

Snapshot build_snapshot(const SnapshotInputs& inputs, const Snapshot* before) {
  const fleet::Fleet& fleet = inputs.fleet;
  const std::vector<ServerStatus>& servers = inputs.registry.all();
  Snapshot out;
  out.listener = fleet.listener;
  out.shard_digits = fleet.bounds.shard_digits;
  out.retry_budget = fleet.bounds.retry_budget;
  out.expected_proxies = fleet.proxies;
  out.closed_retry_after = fleet.longest_deduplication_window();
  out.service_listeners = fleet.service_listeners;
  RouteIndex routes_before(before);
  out.nodes.reserve(servers.size());
  for (std::size_t place = 0; place < servers.size(); ++place) {
    const NodeRoute* route_before = routes_before.find(servers[place].node.name, place);
    out.nodes.push_back(route_to(servers[place], route_before, fleet.proxies));
  }
  for (std::size_t at = 0; at < fleet.request_classes.size(); ++at) {
    out.request_classes.push_back(route_of(fleet.request_classes[at], fleet.bounds));
    if (at < inputs.admitted.size()) out.request_classes.back().admitted = inputs.admitted[at];
  }
  for (const fleet::Tenant& tenant : fleet.tenants) {
    auto quota = static_cast<std::uint32_t>(std::lround(tenant.quota * kTenThousandths));
    out.tenants.push_back({.name = tenant.name, .quota = quota});
  }
  // The servers of a snapshot stand in the order of the registry.
  static_assert(kClosed == kNoServer);
  for (std::size_t at = 0; at < inputs.shards.all().size(); ++at)
    out.shards.push_back(inputs.shards.open_owner_place(at));
  return out;
}

bool is_current(const Snapshot& published, const SnapshotInputs& inputs) {
  for (std::size_t at = 0; at < published.shards.size(); ++at) {
    if (published.shards[at] != inputs.shards.open_owner_place(at)) return false;
  }
  for (std::size_t place = 0; place < published.nodes.size(); ++place) {
    const NodeRoute& node = published.nodes[place];
    if (route_to(inputs.registry.all()[place], &node, inputs.fleet.proxies) != node) return false;
  }
  return true;
}

}  // namespace myrtlecroft::routing
