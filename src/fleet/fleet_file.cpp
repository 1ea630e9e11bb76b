// Parses all sections of the fleet file except the request classes.
#include "fleet/fleet_file.h"

#include <optional>
#include <set>

#include "fleet/file_fields.h"
#include "fleet/request_class_file.h"
#include "settings/document.h"

namespace myrtlecroft::fleet {
namespace {

using settings::Section;

constexpr std::size_t kMaxTenants = 200;
constexpr std::int64_t kMaxProxies = 100'000;
constexpr int kMaxPriority = 7;
constexpr double kRoundingTolerance = 1e-9;  // tolerance for rounding errors in a sum of quotas

Node read_node(Section section) {
  Node node;
  node.name = read_name(section);
  node.zone = section.text_or("zone", "default");
  std::optional<settings::HostAndPort> address = settings::parse_address(section.text("address"));
  if (!address) section.fail("address", "is not an address like 127.0.0.1:4100");
  node.host = address->host;
  node.port = address->port;
  node.capacity = section.number_or("capacity", 1, 0.01, 10'000);
  node.priority = static_cast<int>(section.integer_or("priority", 0, 0, kMaxPriority));
  section.reject_unknown_fields();
  return node;
}

std::vector<Node> read_nodes(Section& root) {
  std::vector<Node> nodes = read_list<Node>(root, "nodes", kMaxNodes, read_node);
  if (nodes.empty()) root.fail("nodes", "lists no nodes");
  std::set<std::string> addresses;
  for (const Node& node : nodes) {
    if (!addresses.insert(node.address()).second) {
      root.fail("nodes", "two nodes have the address " + node.address());
    }
  }
  return nodes;
}

Tenant read_tenant(Section section) {
  Tenant tenant;
  tenant.name = read_name(section);
  tenant.quota = section.number("share", 0, 1);
  section.reject_unknown_fields();
  return tenant;
}

std::vector<Tenant> read_tenants(Section& root) {
  std::vector<Tenant> tenants = read_list<Tenant>(root, "customers", kMaxTenants, read_tenant);
  double total_quota = 0;
  for (const Tenant& tenant : tenants) total_quota += tenant.quota;
  if (total_quota > 1 + kRoundingTolerance) root.fail("customers", "have shares that add up to more than 1");
  return tenants;
}

Service read_service(Section section) {
  Service service;
  service.name = read_name(section);
  service.used_by = section.text_list("used_by");
  service.max_unavailable = read_max_unavailable(section, "most_out", {.by_count = true, .max = 1});
  section.reject_unknown_fields();
  return service;
}

// Expands zones in `used_by` to the names of their servers and removes duplicates.
void resolve_used_by(const Section& root, const NodeIndex& nodes, Service& service) {
  std::vector<std::string> names;
  std::set<std::uint32_t> listed;
  for (const std::string& used_by : service.used_by) {
    const ServerList::ServerIndices* found = nodes.find(used_by);
    if (!found) {
      root.fail("services", "'" + service.name + "' is used by '" + used_by +
                                "', which is neither a node nor 'zone NAME'");
    }
    for (std::uint32_t server_index : *found) {
      if (listed.insert(server_index).second) names.push_back(nodes.node(server_index).name);
    }
  }
  service.used_by = std::move(names);
}

MaintenanceOptions read_maintenance(Section section) {
  MaintenanceOptions out;
  out.max_unavailable = read_max_unavailable(section, "most_out", out.max_unavailable);
  out.zone_max_unavailable = read_max_unavailable(section, "zone_most_out", out.zone_max_unavailable);
  out.reserve = section.number_or("reserve", out.reserve, 0, 0.9);
  out.lease_duration = section.milliseconds_or("permit_lasts_ms", out.lease_duration, 1000, kMaxTimeMs);
  section.reject_unknown_fields();
  return out;
}

Bounds read_bounds(Section section) {
  Bounds out;
  out.lost_after = section.milliseconds_or("silent_ms", out.lost_after, 100, 60'000);
  out.unresponsive_after = section.milliseconds_or("mute_ms", out.unresponsive_after, 100, 60'000);
  out.min_time_out_of_rotation =
      section.milliseconds_or("dwell_ms", out.min_time_out_of_rotation, 0, kMaxTimeMs);
  out.slow_start = section.milliseconds_or("ramp_ms", out.slow_start, 0, kMaxTimeMs);
  out.initial_slow_start_factor = section.number_or("ramp_from", out.initial_slow_start_factor, 0.01, 1);
  out.max_unavailable = section.number_or("most_out", out.max_unavailable, 0, 0.9);
  out.partition_threshold = section.number_or("isolated_at", out.partition_threshold, 0.1, 1);
  out.max_weight_change_per_second =
      section.number_or("weight_step", out.max_weight_change_per_second, 0.01, 10);
  out.min_weight = section.number_or("least_weight", out.min_weight, 0.01, 1);
  out.max_shed_change_per_second = section.number_or("shed_step", out.max_shed_change_per_second, 0.01, 10);
  out.min_admitted = section.number_or("least_admitted", out.min_admitted, 0, 1);
  out.retry_budget = section.number_or("retry_budget", out.retry_budget, 0, 1);
  out.max_retries = static_cast<int>(section.integer_or("most_retries", out.max_retries, 0, 10));
  out.shard_digits = static_cast<int>(section.integer_or("shard_digits", out.shard_digits, 1, 3));
  out.max_migrating = section.number_or("most_moving", out.max_migrating, 0, 1);
  out.disconnected_proxy_expiry =
      section.milliseconds_or("forget_proxies_ms", out.disconnected_proxy_expiry, 0, kMaxTimeMs);
  out.clock_skew = section.milliseconds_or("clock_skew_ms", out.clock_skew, 1, kMaxTimeMs);
  out.publish_interval = section.milliseconds_or("settle_ms", out.publish_interval, 10, 10'000);
  section.reject_unknown_fields();
  return out;
}

}  // namespace

Fleet read_fleet(const std::string& path) {
  settings::Document document(path);
  Section root = document.root();
  Fleet out;
  root.integer("version", 1, 1);
  out.listener = root.text_or("listener", "myrtlecroft");
  out.proxies = static_cast<int>(root.integer_or("proxies", 1, 1, kMaxProxies));
  out.nodes = read_nodes(root);
  const NodeIndex index(out.nodes);
  read_request_classes(root, index, out);
  out.tenants = read_tenants(root);
  out.services = read_list<Service>(root, "services", kMaxRequestClasses, read_service);
  for (Service& service : out.services) resolve_used_by(root, index, service);
  if (auto maintenance = root.optional_section("outings")) out.maintenance = read_maintenance(*maintenance);
  if (auto bounds = root.optional_section("bounds")) out.bounds = read_bounds(*bounds);
  root.reject_unknown_fields();
  return out;
}

}  // namespace myrtlecroft::fleet
