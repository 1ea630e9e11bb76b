// What the decision step updates by what changed equals the same computed from nothing, after each change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "routing/retry_policy.h"
#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

// As places among the servers.
std::vector<int> winners_from_nothing(const std::vector<ServerStatus>& servers, std::size_t shards) {
  std::vector<int> out(shards, kNoServer);
  for (std::size_t shard = 0; shard < shards; ++shard) {
    double best = 0;
    for (std::size_t place = 0; place < servers.size(); ++place) {
      const ServerStatus& one = servers[place];
      if (!one.in_service() || one.kept_in_rotation) continue;
      std::uint64_t hash = XXH3_64bits_withSeed(one.node.name.data(), one.node.name.size(), shard);
      double score =
          one.node.capacity / -std::log((static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0);
      int priority =
          out[shard] == kNoServer ? 0 : servers[static_cast<std::size_t>(out[shard])].node.priority;
      bool wins = out[shard] == kNoServer || one.node.priority < priority ||
                  (one.node.priority == priority && score > best);
      if (!wins) continue;
      out[shard] = static_cast<int>(place);
      best = score;
    }
  }
  return out;
}

std::uint32_t steady(double value, std::uint32_t before, double min_change) {
  if (before > 0 && std::abs(value - before) < min_change * before) return before;
  return static_cast<std::uint32_t>(std::max(1.0, std::round(value)));
}

NodeRoute node_from_nothing(const ServerStatus& server, const Snapshot* before, int proxies) {
  const NodeRoute* was = nullptr;
  if (before) {
    for (const NodeRoute& one : before->nodes) was = one.name == server.node.name ? &one : was;
  }
  NodeRoute out{server.node.name, server.node.zone, server.node.host, server.node.port, server.node.priority};
  out.in_flight = was ? was->in_flight : 0;
  if (!server.in_service()) {
    bool draining = server.out_for_maintenance || server.state == ServerState::kDraining;
    out.health = draining ? Health::kDraining : Health::kOutOfRotation;
    return out;
  }
  out.health = Health::kHealthy;
  double full = 100 * server.node.capacity;
  double weight = 100 * server.effective_capacity();
  out.weight = steady(weight, was && weight < full ? was->weight : 0, 0.05);
  double capacity = 1.5 * (server.report.window + server.report.limit) / proxies;
  if (server.last_report_at > 0) out.in_flight = steady(std::max(4.0, capacity), out.in_flight, 0.25);
  return out;
}

Snapshot snapshot_from_nothing(const Router& router, const Snapshot* before) {
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
    out.nodes.push_back(node_from_nothing(server, before, fleet.proxies));
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
    for (std::size_t place = 0; place < out.nodes.size(); ++place) {
      bool owns = shard.state == ShardState::kOwned && out.nodes[place].name == shard.owner;
      if (owns) owner = static_cast<int>(place);
    }
    out.shards.push_back(owner);
  }
  return out;
}

struct ChangingWorld {
  static fleet::Fleet first() {
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
    bool any = world.router.published() != nullptr;
    if (any) before = world.router.published()->snapshot;
    std::size_t published = world.published.size();
    world.run(100 * kMs);
    const std::vector<ServerStatus>& servers = world.router.registry().all();
    std::vector<int> expected = winners_from_nothing(servers, world.router.shards().all().size());
    for (std::size_t shard = 0; shard < expected.size(); ++shard)
      RC_ASSERT(world.router.shards().winner(shard) == expected[shard]);
    Snapshot expected_snapshot = snapshot_from_nothing(world.router, any ? &before : nullptr);
    if (world.published.size() > published) {
      RC_ASSERT(world.router.published()->snapshot == expected_snapshot);
      RC_ASSERT(!any || expected_snapshot != before);
    } else if (!find_error(expected_snapshot)) {
      RC_ASSERT(any && expected_snapshot == before);
    }
  }

  std::string any_node() { return "n" + std::to_string(*rc::gen::inRange(1, 16)); }
  fleet::Node* node(const std::string& name) {
    auto found = std::find_if(world.fleet.nodes.begin(), world.fleet.nodes.end(),
                              [&](const fleet::Node& one) { return one.name == name; });
    return found == world.fleet.nodes.end() ? nullptr : &*found;
  }
  void toggle(std::map<std::string, bool>& what, const std::string& name) {
    if (what.erase(name) == 0) what[name] = true;
  }
  void add_or_remove(const std::string& name) {
    auto& nodes = world.fleet.nodes;
    if (node(name)) {
      if (nodes.size() > 1) std::erase_if(nodes, [&](const fleet::Node& one) { return one.name == name; });
      return;
    }
    fleet::Node added = small_fleet(16).nodes[static_cast<std::size_t>(std::stoi(name.substr(1)) - 1)];
    std::size_t at = *rc::gen::inRange<std::size_t>(0, nodes.size() + 1);
    nodes.insert(nodes.begin() + static_cast<std::ptrdiff_t>(at), added);
    if (world.reports.contains(name)) return;
    world.reports[name] = world.reports.at("n1");
    world.reports[name].node = name;
    world.reports[name].address = added.address();
  }
  void restart(const std::string& name) {
    if (!world.reports.contains(name)) return;
    ++world.reports[name].incarnation;
    world.reports[name].sequence = 0;
  }
  void new_options(const std::string& name) {
    if (!node(name)) return;
    node(name)->capacity = *rc::gen::inRange(1, 5);
    node(name)->priority = *rc::gen::inRange(0, 2);
  }
  void reorder() {
    std::size_t by = *rc::gen::inRange<std::size_t>(0, world.fleet.nodes.size());
    std::rotate(world.fleet.nodes.begin(), world.fleet.nodes.begin() + static_cast<std::ptrdiff_t>(by),
                world.fleet.nodes.end());
  }
  void change() {
    std::string name = any_node();
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        return toggle(world.without_reports, name);
      case 1:
        return toggle(world.hung, name);  // some of those are kept in rotation
      case 2:
        if (world.reports.contains(name)) world.reports[name].draining = !world.reports[name].draining;
        return;
      case 3:
        if (out_for_maintenance.erase(name) == 0) out_for_maintenance.insert(name);
        return world.router.set_out_for_maintenance(out_for_maintenance);
      case 4:
        return restart(name);
      case 5:
        world.rejects[name] = 2 - std::min<std::uint64_t>(2, world.rejects[name]);
        return;
      case 6:
        if (world.reports.contains(name)) world.reports[name].window = *rc::gen::inRange(1u, 200u);
        return;
      case 7:
        add_or_remove(name);
        break;
      case 8:
        new_options(name);
        break;
      default:
        reorder();
    }
    world.router.update_fleet(world.fleet, world.now);
  }

  FleetWorld world{first()};
  std::set<std::string> out_for_maintenance;
};

RC_GTEST_PROP(IncrementalRouting, WinnersAndSnapshotsEqualThoseFromNothingAfterAnyChanges, ()) {
  ChangingWorld changing;
  for (int i = 0; i < 20; ++i) changing.step();
  for (int i = *rc::gen::inRange(10, 120); i > 0; --i) {
    for (int changes = *rc::gen::inRange(0, 3); changes > 0; --changes) changing.change();
    changing.step();
  }
}

}  // namespace
}  // namespace myrtlecroft::routing
