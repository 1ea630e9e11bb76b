// Compares the incrementally updated winners and snapshots with a full recomputation after random changes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "routing/retry_policy.h"
#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

// Returns the winner of each shard as an index into `servers`, or kNoServer.
std::vector<int> compute_winners(const std::vector<ServerStatus>& servers, std::size_t shards) {
  std::vector<int> out(shards, kNoServer);
  for (std::size_t shard = 0; shard < shards; ++shard) {
    double best = 0;
    for (std::size_t server_index = 0; server_index < servers.size(); ++server_index) {
      const ServerStatus& one = servers[server_index];
      if (!one.in_service() || one.kept_in_rotation) continue;
      std::uint64_t hash = XXH3_64bits_withSeed(one.node.name.data(), one.node.name.size(), shard);
      double score =
          one.node.capacity / -std::log((static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0);
      int priority =
          out[shard] == kNoServer ? 0 : servers[static_cast<std::size_t>(out[shard])].node.priority;
      bool wins = out[shard] == kNoServer || one.node.priority < priority ||
                  (one.node.priority == priority && score > best);
      if (!wins) continue;
      out[shard] = static_cast<int>(server_index);
      best = score;
    }
  }
  return out;
}

std::uint32_t suppress_small_change(double value, std::uint32_t before, double min_change) {
  if (before > 0 && std::abs(value - before) < min_change * before) return before;
  return static_cast<std::uint32_t>(std::max(1.0, std::round(value)));
}

NodeRoute compute_node_route(const ServerStatus& server, const Snapshot* before, int proxies) {
  const NodeRoute* previous = nullptr;
  if (before) {
    for (const NodeRoute& one : before->nodes) previous = one.name == server.node.name ? &one : previous;
  }
  NodeRoute out{server.node.name, server.node.zone, server.node.host, server.node.port, server.node.priority};
  out.in_flight = previous ? previous->in_flight : 0;
  if (!server.in_service()) {
    bool draining = server.out_for_maintenance || server.state == ServerState::kDraining;
    out.health = draining ? Health::kDraining : Health::kOutOfRotation;
    return out;
  }
  out.health = Health::kHealthy;
  double full = 100 * server.node.capacity;
  double weight = 100 * server.effective_capacity();
  out.weight = suppress_small_change(weight, previous && weight < full ? previous->weight : 0, 0.05);
  double capacity = 1.5 * (server.report.window + server.report.limit) / proxies;
  if (server.last_report_at > 0)
    out.in_flight = suppress_small_change(std::max(4.0, capacity), out.in_flight, 0.25);
  return out;
}

Snapshot compute_snapshot(const Router& router, const Snapshot* before) {
  const fleet::Fleet& fleet = router.fleet();
  Snapshot out{.listener = fleet.listener,
               .shard_digits = fleet.bounds.shard_digits,
               .retry_budget = fleet.bounds.retry_budget,
               .expected_proxies = fleet.proxies,
               .closed_retry_after = fleet.longest_deduplication_window(),
               .nodes = {},
               .request_classes = {},
               .tenants = {},
               .shards = {}};
  for (const ServerStatus& server : router.registry().all())
    out.nodes.push_back(compute_node_route(server, before, fleet.proxies));
  for (std::size_t i = 0; i < fleet.request_classes.size(); ++i) {
    const fleet::RequestClass& request_class = fleet.request_classes[i];
    RequestClassRoute route{request_class.name,           request_class.path,
                            request_class.idempotency,    request_class.key_header,
                            request_class.client_timeout, retry_policy_for(request_class, fleet.bounds)};
    if (i < router.admission().admitted().size()) route.admitted = router.admission().admitted()[i];
    route.retry_after = request_class.latency_objective / 4;
    out.request_classes.push_back(route);
  }
  for (const fleet::Tenant& tenant : fleet.tenants)
    out.tenants.push_back({tenant.name, static_cast<std::uint32_t>(std::lround(tenant.quota * 10'000))});
  for (const Shard& shard : router.shards().all()) {
    int owner = kClosed;
    for (std::size_t server_index = 0; server_index < out.nodes.size(); ++server_index) {
      bool owns = shard.state == ShardState::kOwned && out.nodes[server_index].name == shard.owner;
      if (owns) owner = static_cast<int>(server_index);
    }
    out.shards.push_back(owner);
  }
  return out;
}

// A simulated fleet that is changed at random and checked after each step.
struct RandomFleetChanges {
  static fleet::Fleet initial_fleet() {
    fleet::Fleet out = small_fleet(12);
    out.bounds.publish_interval = 0;
    out.bounds.shard_digits = 1;
    out.bounds.min_time_out_of_rotation = 200 * kMs;
    out.bounds.slow_start = 300 * kMs;
    out.bounds.max_migrating = 0.3;
    out.request_classes[2].deduplication_window = 500 * kMs;
    return out;
  }

  void step() {
    Snapshot before;
    bool has_previous = simulation.router.published() != nullptr;
    if (has_previous) before = simulation.router.published()->snapshot;
    std::size_t published = simulation.published.size();
    simulation.run(100 * kMs);
    const std::vector<ServerStatus>& servers = simulation.router.registry().all();
    std::vector<int> expected = compute_winners(servers, simulation.router.shards().all().size());
    for (std::size_t shard = 0; shard < expected.size(); ++shard)
      RC_ASSERT(simulation.router.shards().winner(shard) == expected[shard]);
    Snapshot expected_snapshot = compute_snapshot(simulation.router, has_previous ? &before : nullptr);
    if (simulation.published.size() > published) {
      RC_ASSERT(simulation.router.published()->snapshot == expected_snapshot);
      RC_ASSERT(!has_previous || expected_snapshot != before);
    } else if (!find_error(expected_snapshot)) {
      RC_ASSERT(has_previous && expected_snapshot == before);
    }
  }

  std::string random_node_name() { return "n" + std::to_string(*rc::gen::inRange(1, 16)); }
  fleet::Node* node(const std::string& name) {
    auto found = std::find_if(simulation.fleet.nodes.begin(), simulation.fleet.nodes.end(),
                              [&](const fleet::Node& one) { return one.name == name; });
    return found == simulation.fleet.nodes.end() ? nullptr : &*found;
  }
  void toggle(std::map<std::string, bool>& flags, const std::string& name) {
    if (flags.erase(name) == 0) flags[name] = true;
  }
  void add_or_remove(const std::string& name) {
    auto& nodes = simulation.fleet.nodes;
    if (node(name)) {
      if (nodes.size() > 1) std::erase_if(nodes, [&](const fleet::Node& one) { return one.name == name; });
      return;
    }
    fleet::Node added = small_fleet(16).nodes[static_cast<std::size_t>(std::stoi(name.substr(1)) - 1)];
    std::size_t at = *rc::gen::inRange<std::size_t>(0, nodes.size() + 1);
    nodes.insert(nodes.begin() + static_cast<std::ptrdiff_t>(at), added);
    if (simulation.reports.contains(name)) return;
    simulation.reports[name] = simulation.reports.at("n1");
    simulation.reports[name].node = name;
    simulation.reports[name].address = added.address();
  }
  void restart(const std::string& name) {
    if (!simulation.reports.contains(name)) return;
    ++simulation.reports[name].incarnation;
    simulation.reports[name].sequence = 0;
  }
  void change_capacity_and_priority(const std::string& name) {
    if (!node(name)) return;
    node(name)->capacity = *rc::gen::inRange(1, 5);
    node(name)->priority = *rc::gen::inRange(0, 2);
  }
  void reorder() {
    std::size_t by = *rc::gen::inRange<std::size_t>(0, simulation.fleet.nodes.size());
    std::rotate(simulation.fleet.nodes.begin(),
                simulation.fleet.nodes.begin() + static_cast<std::ptrdiff_t>(by),
                simulation.fleet.nodes.end());
  }
  void change() {
    std::string name = random_node_name();
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        return toggle(simulation.without_reports, name);
      case 1:
        return toggle(simulation.hung, name);  // the panic threshold keeps some of them in rotation
      case 2:
        if (simulation.reports.contains(name))
          simulation.reports[name].draining = !simulation.reports[name].draining;
        return;
      case 3:
        if (out_for_maintenance.erase(name) == 0) out_for_maintenance.insert(name);
        return simulation.router.set_out_for_maintenance(out_for_maintenance);
      case 4:
        return restart(name);
      case 5:
        simulation.rejects[name] = 2 - std::min<std::uint64_t>(2, simulation.rejects[name]);
        return;
      case 6:
        if (simulation.reports.contains(name)) simulation.reports[name].window = *rc::gen::inRange(1u, 200u);
        return;
      case 7:
        add_or_remove(name);
        break;
      case 8:
        change_capacity_and_priority(name);
        break;
      default:
        reorder();
    }
    simulation.router.update_fleet(simulation.fleet, simulation.now);
  }

  FleetSimulation simulation{initial_fleet()};
  std::set<std::string> out_for_maintenance;
};

RC_GTEST_PROP(IncrementalRouting, IncrementalResultsEqualFullRecomputationAfterAnyChanges, ()) {
  RandomFleetChanges changing;
  for (int i = 0; i < 20; ++i) changing.step();
  for (int i = *rc::gen::inRange(10, 120); i > 0; --i) {
    for (int changes = *rc::gen::inRange(0, 3); changes > 0; --changes) changing.change();
    changing.step();
  }
}

}  // namespace
}  // namespace myrtlecroft::routing
