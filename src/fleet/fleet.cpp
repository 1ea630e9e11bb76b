#include "fleet/fleet.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include "settings/document.h"

namespace myrtlecroft::fleet {
namespace {

using settings::Section;

constexpr std::size_t kMaxNodes = 10'000;
constexpr std::size_t kMaxRequestClasses = 10'000;
constexpr std::size_t kMaxTenants = 200;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kLongest = 86'400'000;  // ms
constexpr std::int64_t kMaxProxies = 100'000;

// Names stand in resource names and log lines.
std::string name_in(Section& part) {
  std::string name = part.text("name");
  bool plain = std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
  if (!plain || name.size() > kMaxNameLength) {
    part.fail("name", "is not a name of at most 64 letters, digits, '-', '_' and '.'");
  }
  return name;
}

Node read_node(Section part) {
  Node node;
  node.name = name_in(part);
  node.zone = part.text_or("zone", "default");
  std::optional<settings::HostAndPort> address = settings::parse_address(part.text("address"));
  if (!address) part.fail("address", "is not an address like 127.0.0.1:4100");
  node.host = address->host;
  node.port = address->port;
  node.capacity = part.number_or("capacity", 1, 0.01, 10'000);
  node.priority = static_cast<int>(part.integer_or("priority", 0, 0, 7));
  part.reject_unknown_fields();
  return node;
}

MaxUnavailable max_unavailable_in(Section& part, const char* name, MaxUnavailable otherwise) {
  if (!part.has(name)) {
    part.number_or(name, 1, 0, 1);
    return otherwise;
  }
  if (part.is_integer(name))
    return {.by_count = true, .max = static_cast<double>(part.integer(name, 0, kMaxNodes))};
  return {.by_count = false, .max = part.number(name, 0, 1)};
}

Idempotency effect_in(Section& part) {
  std::string word = part.text("repeats");
  if (word == "repeatable") return Idempotency::kIdempotent;
  if (word == "deduplicated") return Idempotency::kKeyed;
  if (word == "mutating") return Idempotency::kNone;
  part.fail("repeats", "is none of repeatable, deduplicated, mutating");
}

// Servers by name and by zone. Without it each name in a list would be looked for among all servers.
class NodeIndex {
 public:
  explicit NodeIndex(const std::vector<Node>& nodes) : nodes_(nodes) {
    for (std::uint32_t place = 0; place < nodes.size(); ++place) {
      by_name_[nodes[place].name] = {place};
      by_name_["zone " + nodes[place].zone].push_back(place);
    }
  }
  // The places of a server, or of all servers of "zone NAME"; nullptr where it is neither.
  const ServerList::Places* find(const std::string& name) const {
    auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &found->second;
  }
  const Node& node(std::uint32_t place) const { return nodes_[place]; }
  std::size_t size() const { return nodes_.size(); }

 private:
  const std::vector<Node>& nodes_;
  std::unordered_map<std::string, ServerList::Places> by_name_;
};

// What the groups of one file have in common.
struct GroupContext {
  const NodeIndex& nodes;
  std::string listener;
  std::uint32_t subset_size = 0;  // of groups that name none
  bool service_listeners = false;
  std::map<ServerList::Places, std::shared_ptr<const ServerList::Places>> lists;  // equal ones are shared
};

ServerList read_servers(Section& part, GroupContext& context) {
  std::vector<std::string> names = part.text_list("servers");
  if (!part.has("servers")) return {};
  if (names.empty()) part.fail("servers", "names no server");
  ServerList::Places places;
  std::set<std::uint32_t> listed;
  for (const std::string& name : names) {
    const ServerList::Places* found = context.nodes.find(name);
    if (!found) part.fail("servers", "'" + name + "' is neither a node nor 'zone NAME'");
    for (std::uint32_t place : *found) {
      if (!listed.insert(place).second) {
        part.fail("servers", "names '" + context.nodes.node(place).name + "' twice, with '" + name + "'");
      }
    }
  }
  places.assign(listed.begin(), listed.end());
  auto& shared = context.lists[places];
  if (!shared) shared = std::make_shared<const ServerList::Places>(places);
  return {shared};
}

// A service that is no larger than its subsets is told whole.
std::uint32_t read_subset_size(Section& part, const ServerList& servers, const GroupContext& context) {
  std::size_t all = servers.all() ? context.nodes.size() : servers.places->size();
  auto size = static_cast<std::uint32_t>(part.integer_or("subset_size", context.subset_size, 1, kMaxNodes));
  if (part.has("subset_size") && size > all) {
    part.fail("subset_size", "is larger than the service, which has " + std::to_string(all) + " servers");
  }
  return size < all ? size : 0;
}

void read_placement(Section& part, RequestClass& request_class, GroupContext& context) {
  if (context.service_listeners && request_class.name == context.listener) {
    part.fail("name", "is the name of the listener, which callers ask for the whole fleet by");
  }
  if (request_class.idempotency == Idempotency::kKeyed) {
    for (const char* name : {"servers", "subset_size"}) {
      if (part.has(name))
        part.fail(name, "has no use in a deduplicated group: each of its keys has one owner among all nodes");
    }
    return;
  }
  request_class.servers = read_servers(part, context);
  request_class.subset_size = read_subset_size(part, request_class.servers, context);
}

RequestClass read_request_class(Section part, GroupContext& context) {
  RequestClass request_class;
  request_class.name = name_in(part);
  request_class.path = part.text_or("path", "/api/v2/" + request_class.name);
  if (request_class.path.front() != '/') part.fail("path", "does not begin with '/'");
  request_class.idempotency = effect_in(part);
  request_class.priority_weight = part.number_or("benefit", 1, 0, 1e6);
  request_class.client_timeout = part.milliseconds("timeout_ms", 1, kLongest);
  request_class.latency_objective = part.milliseconds_or("slo_ms", request_class.client_timeout, 1, kLongest);
  if (request_class.latency_objective > request_class.client_timeout)
    part.fail("slo_ms", "is longer than timeout_ms");
  bool deduplicated = request_class.idempotency == Idempotency::kKeyed;
  if (deduplicated) request_class.deduplication_window = part.milliseconds("window_ms", 1, kLongest);
  request_class.key_header = part.text_or("key_header", deduplicated ? "Replay-Key" : "");
  if (request_class.idempotency == Idempotency::kNone && !request_class.key_header.empty()) {
    part.fail("key_header", "has no use in a mutating group");
  }
  request_class.max_unavailable = max_unavailable_in(part, "most_out", {});
  read_placement(part, request_class, context);
  part.reject_unknown_fields();
  return request_class;
}

Tenant read_tenant(Section part) {
  Tenant tenant;
  tenant.name = name_in(part);
  tenant.quota = part.number("share", 0, 1);
  part.reject_unknown_fields();
  return tenant;
}

Service read_service(Section part) {
  Service service;
  service.name = name_in(part);
  service.used_by = part.text_list("used_by");
  service.max_unavailable = max_unavailable_in(part, "most_out", {.by_count = true, .max = 1});
  part.reject_unknown_fields();
  return service;
}

MaintenanceOptions read_maintenance(Section part) {
  MaintenanceOptions out;
  out.max_unavailable = max_unavailable_in(part, "most_out", out.max_unavailable);
  out.zone_max_unavailable = max_unavailable_in(part, "zone_most_out", out.zone_max_unavailable);
  out.reserve = part.number_or("reserve", out.reserve, 0, 0.9);
  out.lease_duration = part.milliseconds_or("permit_lasts_ms", out.lease_duration, 1000, kLongest);
  part.reject_unknown_fields();
  return out;
}

Bounds read_bounds(Section part) {
  Bounds out;
  out.lost_after = part.milliseconds_or("silent_ms", out.lost_after, 100, 60'000);
  out.unresponsive_after = part.milliseconds_or("mute_ms", out.unresponsive_after, 100, 60'000);
  out.dwell = part.milliseconds_or("dwell_ms", out.dwell, 0, kLongest);
  out.slow_start = part.milliseconds_or("ramp_ms", out.slow_start, 0, kLongest);
  out.initial_slow_start_factor = part.number_or("ramp_from", out.initial_slow_start_factor, 0.01, 1);
  out.max_unavailable = part.number_or("most_out", out.max_unavailable, 0, 0.9);
  out.partitioned_at = part.number_or("isolated_at", out.partitioned_at, 0.1, 1);
  out.weight_step = part.number_or("weight_step", out.weight_step, 0.01, 10);
  out.min_weight = part.number_or("least_weight", out.min_weight, 0.01, 1);
  out.shed_step = part.number_or("shed_step", out.shed_step, 0.01, 10);
  out.min_admitted = part.number_or("least_admitted", out.min_admitted, 0, 1);
  out.retry_budget = part.number_or("retry_budget", out.retry_budget, 0, 1);
  out.max_retries = static_cast<int>(part.integer_or("most_retries", out.max_retries, 0, 10));
  out.shard_digits = static_cast<int>(part.integer_or("shard_digits", out.shard_digits, 1, 3));
  out.max_migrating = part.number_or("most_moving", out.max_migrating, 0, 1);
  out.forget_proxies = part.milliseconds_or("forget_proxies_ms", out.forget_proxies, 0, kLongest);
  out.clock_skew = part.milliseconds_or("clock_skew_ms", out.clock_skew, 1, kLongest);
  out.publish_interval = part.milliseconds_or("settle_ms", out.publish_interval, 10, 10'000);
  part.reject_unknown_fields();
  return out;
}

// The list with each entry read; a name that comes twice is an error at its second place.
template <class Entry, class Read>
std::vector<Entry> read_list(Section& root, const char* name, std::size_t max, Read read) {
  std::vector<Entry> out;
  std::set<std::string> names;
  std::vector<Section> parts = root.list(name);
  if (parts.size() > max) root.fail(name, "has more than " + std::to_string(max) + " entries");
  for (const Section& part : parts) {
    out.push_back(read(part));
    if (!names.insert(out.back().name).second) part.fail("name", "comes twice: '" + out.back().name + "'");
  }
  return out;
}

// The size that groups have which name none; 0: none.
std::uint32_t read_subsetting(Section& root, std::size_t nodes) {
  auto part = root.optional_section("subsetting");
  if (!part) return 0;
  auto size = static_cast<std::uint32_t>(part->integer("size", 1, kMaxNodes));
  if (size > nodes)
    part->fail("size", "is larger than the fleet, which has " + std::to_string(nodes) + " nodes");
  part->reject_unknown_fields();
  return size;
}

void read_request_classes(Section& root, const NodeIndex& nodes, Fleet& out) {
  GroupContext context{
      .nodes = nodes, .listener = out.listener, .subset_size = 0, .service_listeners = false, .lists = {}};
  context.subset_size = read_subsetting(root, nodes.size());
  std::vector<Section> parts = root.list("groups");
  context.service_listeners =
      context.subset_size > 0 ||
      std::any_of(parts.begin(), parts.end(), [](const Section& part) { return part.has("subset_size"); });
  out.service_listeners = context.service_listeners;
  out.request_classes = read_list<RequestClass>(
      root, "groups", kMaxRequestClasses, [&](Section part) { return read_request_class(part, context); });
  if (out.request_classes.empty()) root.fail("groups", "names no endpoint group");
}

// Each server that a service is used by, once.
void name_nodes(const Section& root, const NodeIndex& nodes, Service& service) {
  std::vector<std::string> names;
  std::set<std::uint32_t> listed;
  for (const std::string& used_by : service.used_by) {
    const ServerList::Places* found = nodes.find(used_by);
    if (!found) {
      root.fail("services", "'" + service.name + "' is used by '" + used_by +
                                "', which is neither a node nor 'zone NAME'");
    }
    for (std::uint32_t place : *found) {
      if (listed.insert(place).second) names.push_back(nodes.node(place).name);
    }
  }
  service.used_by = std::move(names);
}

}  // namespace

const Node* Fleet::node(const std::string& name) const {
  auto found = std::find_if(nodes.begin(), nodes.end(), [&](const Node& one) { return one.name == name; });
  return found == nodes.end() ? nullptr : &*found;
}

Nanos Fleet::longest_window() const {
  Nanos longest = 0;
  for (const RequestClass& request_class : request_classes) {
    if (request_class.idempotency != Idempotency::kKeyed) continue;
    longest = std::max(longest, request_class.deduplication_window + request_class.client_timeout);
  }
  return longest;
}

Fleet read_fleet(const std::string& path) {
  settings::Document document(path);
  Section root = document.root();
  Fleet out;
  root.integer("version", 1, 1);
  out.listener = root.text_or("listener", "myrtlecroft");
  out.proxies = static_cast<int>(root.integer_or("proxies", 1, 1, kMaxProxies));
  out.nodes = read_list<Node>(root, "nodes", kMaxNodes, read_node);
  if (out.nodes.empty()) root.fail("nodes", "names no node");
  std::set<std::string> addresses;
  for (const Node& node : out.nodes) {
    if (!addresses.insert(node.address()).second) {
      root.fail("nodes", "two nodes have the address " + node.address());
    }
  }
  const NodeIndex index(out.nodes);
  read_request_classes(root, index, out);
  std::set<std::string> paths;
  for (const RequestClass& request_class : out.request_classes) {
    if (!paths.insert(request_class.path).second)
      root.fail("groups", "two groups have the path " + request_class.path);
  }
  out.tenants = read_list<Tenant>(root, "customers", kMaxTenants, read_tenant);
  double shares = 0;
  for (const Tenant& tenant : out.tenants) shares += tenant.quota;
  if (shares > 1 + 1e-9) root.fail("customers", "have shares of more than 1 together");
  out.services = read_list<Service>(root, "services", kMaxRequestClasses, read_service);
  for (Service& service : out.services) name_nodes(root, index, service);
  if (auto outings = root.optional_section("outings")) out.maintenance = read_maintenance(*outings);
  if (auto bounds = root.optional_section("bounds")) out.bounds = read_bounds(*bounds);
  root.reject_unknown_fields();
  return out;
}

}  // namespace myrtlecroft::fleet
