// Parses the request classes of the fleet file, one function for each group of fields.
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

// State shared by the request classes of one file.
struct Context {
  const NodeIndex& nodes;
  std::string listener;
  std::uint32_t subset_size = 0;  // default for request classes without one
  bool service_listeners = false;
  std::map<ServerList::ServerIndices, std::shared_ptr<const ServerList::ServerIndices>>
      lists;  // equal server lists are shared
};

Idempotency read_idempotency(Section& section) {
  std::string value = section.text("repeats");
  if (value == "repeatable") return Idempotency::kIdempotent;
  if (value == "deduplicated") return Idempotency::kKeyed;
  if (value == "mutating") return Idempotency::kNone;
  section.fail("repeats", "is not one of repeatable, deduplicated, mutating");
}

ServerList read_servers(Section& section, Context& context) {
  std::vector<std::string> names = section.text_list("servers");
  if (!section.has("servers")) return {};
  if (names.empty()) section.fail("servers", "lists no servers");
  std::set<std::uint32_t> listed;
  for (const std::string& name : names) {
    const ServerList::ServerIndices* found = context.nodes.find(name);
    if (!found) section.fail("servers", "'" + name + "' is neither a node nor 'zone NAME'");
    for (std::uint32_t server_index : *found) {
      if (listed.insert(server_index).second) continue;
      section.fail("servers", "lists '" + context.nodes.node(server_index).name +
                                  "' twice, the second time through '" + name + "'");
    }
  }
  ServerList::ServerIndices indices(listed.begin(), listed.end());
  auto& shared = context.lists[indices];
  if (!shared) shared = std::make_shared<const ServerList::ServerIndices>(indices);
  return {shared};
}

// Returns 0 if the class has no more servers than a subset: each caller then gets all of them.
std::uint32_t read_subset_size(Section& section, const ServerList& servers, const Context& context) {
  std::size_t all = servers.all() ? context.nodes.size() : servers.places->size();
  auto size =
      static_cast<std::uint32_t>(section.integer_or("subset_size", context.subset_size, 1, kMaxNodes));
  if (section.has("subset_size") && size > all) {
    section.fail("subset_size", "is larger than the service, which has " + std::to_string(all) + " servers");
  }
  return size < all ? size : 0;
}

void read_placement(Section& section, Context& context, RequestClass& out) {
  if (context.service_listeners && out.name == context.listener) {
    section.fail("name", "is the name of the listener, which stands for the whole fleet");
  }
  if (out.idempotency == Idempotency::kKeyed) {
    for (const char* field : {"servers", "subset_size"}) {
      if (!section.has(field)) continue;
      section.fail(field, "is not allowed in a deduplicated group: each key has one owner among all nodes");
    }
    return;
  }
  out.servers = read_servers(section, context);
  out.subset_size = read_subset_size(section, out.servers, context);
}

void read_times(Section& section, RequestClass& out) {
  out.client_timeout = section.milliseconds("timeout_ms", 1, kMaxTimeMs);
  out.latency_objective = section.milliseconds_or("slo_ms", out.client_timeout, 1, kMaxTimeMs);
  if (out.latency_objective > out.client_timeout) section.fail("slo_ms", "is longer than timeout_ms");
  if (out.idempotency == Idempotency::kKeyed)
    out.deduplication_window = section.milliseconds("window_ms", 1, kMaxTimeMs);
}

RequestClass read_request_class(Section section, Context& context) {
  RequestClass out;
  out.name = read_name(section);
  out.path = section.text_or("path", "/api/v2/" + out.name);
  if (out.path.front() != '/') section.fail("path", "does not begin with '/'");
  out.idempotency = read_idempotency(section);
  out.priority_weight = section.number_or("benefit", 1, 0, kMaxPriorityWeight);
  read_times(section, out);
  out.key_header = section.text_or("key_header", out.idempotency == Idempotency::kKeyed ? "Replay-Key" : "");
  if (out.idempotency == Idempotency::kNone && !out.key_header.empty()) {
    section.fail("key_header", "is not allowed in a mutating group");
  }
  out.max_unavailable = read_max_unavailable(section, "most_out", {});
  read_placement(section, context, out);
  section.reject_unknown_fields();
  return out;
}

// Returns the default subset size of request classes; 0: those without a size of their own have no subsets.
std::uint32_t read_subsetting(Section& root, std::size_t nodes) {
  auto section = root.optional_section("subsetting");
  if (!section) return 0;
  auto size = static_cast<std::uint32_t>(section->integer("size", 1, kMaxNodes));
  if (size > nodes)
    section->fail("size", "is larger than the fleet, which has " + std::to_string(nodes) + " nodes");
  section->reject_unknown_fields();
  return size;
}

}  // namespace

void read_request_classes(Section& root, const NodeIndex& nodes, Fleet& out) {
  Context context{
      .nodes = nodes, .listener = out.listener, .subset_size = 0, .service_listeners = false, .lists = {}};
  context.subset_size = read_subsetting(root, nodes.size());
  std::vector<Section> sections = root.list("groups");
  context.service_listeners = context.subset_size > 0 ||
                              std::any_of(sections.begin(), sections.end(),
                                          [](const Section& section) { return section.has("subset_size"); });
  out.service_listeners = context.service_listeners;
  out.request_classes = read_list<RequestClass>(root, "groups", kMaxRequestClasses, [&](Section section) {
    return read_request_class(std::move(section), context);
  });
  if (out.request_classes.empty()) root.fail("groups", "lists no endpoint groups");
  std::set<std::string> paths;
  for (const RequestClass& request_class : out.request_classes) {
    if (!paths.insert(request_class.path).second)
      root.fail("groups", "two groups have the path " + request_class.path);
  }
}

}  // namespace myrtlecroft::fleet
