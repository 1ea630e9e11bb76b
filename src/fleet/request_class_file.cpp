// One function for each part of a request class.
#include "fleet/request_class_file.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace myrtlecroft::fleet {
namespace {

using settings::Section;

constexpr double kMaxPriorityWeight = 1e6;

// What the request classes of one file have in common.
struct Context {
  const NodeIndex& nodes;
  std::string listener;
  std::uint32_t subset_size = 0;  // of classes that name none
  bool service_listeners = false;
  std::map<ServerList::ServerIndices, std::shared_ptr<const ServerList::ServerIndices>>
      lists;  // equal ones are shared
};

Idempotency read_idempotency(Section& part) {
  std::string value = part.text("repeats");
  if (value == "repeatable") return Idempotency::kIdempotent;
  if (value == "deduplicated") return Idempotency::kKeyed;
  if (value == "mutating") return Idempotency::kNone;
  part.fail("repeats", "is none of repeatable, deduplicated, mutating");
}

ServerList read_servers(Section& part, Context& context) {
  std::vector<std::string> names = part.text_list("servers");
  if (!part.has("servers")) return {};
  if (names.empty()) part.fail("servers", "names no server");
  std::set<std::uint32_t> listed;
  for (const std::string& name : names) {
    const ServerList::ServerIndices* found = context.nodes.find(name);
    if (!found) part.fail("servers", "'" + name + "' is neither a node nor 'zone NAME'");
    for (std::uint32_t place : *found) {
      if (listed.insert(place).second) continue;
      part.fail("servers", "names '" + context.nodes.node(place).name + "' twice, with '" + name + "'");
    }
  }
  ServerList::ServerIndices places(listed.begin(), listed.end());
  auto& shared = context.lists[places];
  if (!shared) shared = std::make_shared<const ServerList::ServerIndices>(places);
  return {shared};
}

// 0 where the class has no more servers than a subset: then each caller gets all of them.
std::uint32_t read_subset_size(Section& part, const ServerList& servers, const Context& context) {
  std::size_t all = servers.all() ? context.nodes.size() : servers.places->size();
  auto size = static_cast<std::uint32_t>(part.integer_or("subset_size", context.subset_size, 1, kMaxNodes));
  if (part.has("subset_size") && size > all) {
    part.fail("subset_size", "is larger than the service, which has " + std::to_string(all) + " servers");
  }
  return size < all ? size : 0;
}

void read_placement(Section& part, Context& context, RequestClass& out) {
  if (context.service_listeners && out.name == context.listener) {
    part.fail("name", "is the name of the listener, which callers ask for the whole fleet by");
  }
  if (out.idempotency == Idempotency::kKeyed) {
    for (const char* field : {"servers", "subset_size"}) {
      if (!part.has(field)) continue;
      part.fail(field, "has no use in a deduplicated group: each of its keys has one owner among all nodes");
    }
    return;
  }
  out.servers = read_servers(part, context);
  out.subset_size = read_subset_size(part, out.servers, context);
}

void read_times(Section& part, RequestClass& out) {
  out.client_timeout = part.milliseconds("timeout_ms", 1, kMaxTimeMs);
  out.latency_objective = part.milliseconds_or("slo_ms", out.client_timeout, 1, kMaxTimeMs);
  if (out.latency_objective > out.client_timeout) part.fail("slo_ms", "is longer than timeout_ms");
  if (out.idempotency == Idempotency::kKeyed)
    out.deduplication_window = part.milliseconds("window_ms", 1, kMaxTimeMs);
}

RequestClass read_request_class(Section part, Context& context) {
  RequestClass out;
  out.name = read_name(part);
  out.path = part.text_or("path", "/api/v2/" + out.name);
  if (out.path.front() != '/') part.fail("path", "does not begin with '/'");
  out.idempotency = read_idempotency(part);
  out.priority_weight = part.number_or("benefit", 1, 0, kMaxPriorityWeight);
  read_times(part, out);
  out.key_header = part.text_or("key_header", out.idempotency == Idempotency::kKeyed ? "Replay-Key" : "");
  if (out.idempotency == Idempotency::kNone && !out.key_header.empty()) {
    part.fail("key_header", "has no use in a mutating group");
  }
  out.max_unavailable = read_max_unavailable(part, "most_out", {});
  read_placement(part, context, out);
  part.reject_unknown_fields();
  return out;
}

// The subset size of request classes that name none; 0: they have no subsets.
std::uint32_t read_subsetting(Section& root, std::size_t nodes) {
  auto part = root.optional_section("subsetting");
  if (!part) return 0;
  auto size = static_cast<std::uint32_t>(part->integer("size", 1, kMaxNodes));
  if (size > nodes)
    part->fail("size", "is larger than the fleet, which has " + std::to_string(nodes) + " nodes");
  part->reject_unknown_fields();
  return size;
}

}  // namespace

void read_request_classes(Section& root, const NodeIndex& nodes, Fleet& out) {
  Context context{
      .nodes = nodes, .listener = out.listener, .subset_size = 0, .service_listeners = false, .lists = {}};
  context.subset_size = read_subsetting(root, nodes.size());
  std::vector<Section> parts = root.list("groups");
  context.service_listeners =
      context.subset_size > 0 ||
      std::any_of(parts.begin(), parts.end(), [](const Section& part) { return part.has("subset_size"); });
  out.service_listeners = context.service_listeners;
  out.request_classes = read_list<RequestClass>(root, "groups", kMaxRequestClasses, [&](Section part) {
    return read_request_class(std::move(part), context);
  });
  if (out.request_classes.empty()) root.fail("groups", "names no endpoint group");
  std::set<std::string> paths;
  for (const RequestClass& request_class : out.request_classes) {
    if (!paths.insert(request_class.path).second)
      root.fail("groups", "two groups have the path " + request_class.path);
  }
}

}  // namespace myrtlecroft::fleet
