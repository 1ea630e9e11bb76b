#include "xds/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <unordered_map>

namespace myrtlecroft::xds {
namespace {

using routing::Health;
using routing::NodeRoute;

// Compares the fields that subsets are computed from.
bool same_subset_inputs(const NodeRoute& one, const NodeRoute& other) {
  return one.name == other.name && one.zone == other.zone && one.priority == other.priority;
}

// Compares the fields that endpoints are made from.
bool same_endpoint(const NodeRoute& one, const NodeRoute& other) {
  return same_subset_inputs(one, other) && one.host == other.host && one.port == other.port &&
         one.health == other.health && one.weight == other.weight;
}

std::uint64_t fingerprint_of(const NodeRoute& node) {
  std::string all;
  for (const std::string* text : {&node.name, &node.zone, &node.host}) (all += '\n') += *text;
  all += '\n' + std::to_string(node.port) + ' ' + std::to_string(node.priority) + ' ' +
         routing::name_of(node.health) + ' ' + std::to_string(node.weight);
  return XXH3_64bits(all.data(), all.size());
}

// Returns the previous list if it has the same servers, and otherwise a new one.
NodeListPtr reuse_if_equal(const NodeListPtr& before, NodeList list) {
  return before && *before == list ? before : std::make_shared<const NodeList>(std::move(list));
}

}  // namespace

PlacementTable::PlacementTable(const routing::Snapshot& snapshot, const PlacementTable* before)
    : nodes_(snapshot.nodes.size()),
      fingerprints_(snapshot.nodes.size()),
      server_changed_(snapshot.nodes.size(), true),
      all_indices_(snapshot.nodes.size()) {
  std::iota(all_indices_.begin(), all_indices_.end(), 0u);
  for (const NodeRoute& node : snapshot.nodes) in_flight_.push_back(node.in_flight);
  if (before) share_nodes(snapshot, *before);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index]) continue;
    nodes_[index] = std::make_shared<const NodeRoute>(snapshot.nodes[index]);
    fingerprints_[index] = fingerprint_of(snapshot.nodes[index]);
  }
  placement_by_class_.reserve(snapshot.request_classes.size());
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    if (request_class.idempotency == Idempotency::kKeyed) {
      placement_by_class_.push_back(nullptr);
      continue;
    }
    PlacementPtr& shared = placements_[{request_class.servers.places.get(), request_class.subset_size}];
    if (!shared) {
      shared = make_placement(snapshot, request_class, before);
      server_lists_.push_back(request_class.servers);
    }
    placement_by_class_.push_back(shared);
  }
}

void PlacementTable::share_nodes(const routing::Snapshot& snapshot, const PlacementTable& before) {
  same_server_order_ = nodes_.size() == before.nodes_.size();
  std::unordered_map<std::string_view, NodePtr> known;  // by name; filled only if a server's index changed
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const NodeRoute& current = snapshot.nodes[index];
    NodePtr old = index < before.nodes_.size() ? before.nodes_[index] : nullptr;
    if (!old || !same_subset_inputs(*old, current)) {
      same_server_order_ = false;
      if (known.empty()) {
        for (const NodePtr& node : before.nodes_) known.emplace(node->name, node);
      }
      auto found = known.find(current.name);
      old = found == known.end() ? nullptr : found->second;
    }
    if (!old || !same_endpoint(*old, current)) continue;
    nodes_[index] = old;
    bool same_index = index < before.nodes_.size() && before.nodes_[index] == old;
    fingerprints_[index] = same_index ? before.fingerprints_[index] : fingerprint_of(current);
    server_changed_[index] =
        index >= before.in_flight_.size() || before.in_flight_[index] != current.in_flight;
  }
}

bool PlacementTable::any_changed(const ServerIndices& servers) const {
  return !same_server_order_ || std::any_of(servers.begin(), servers.end(),
                                            [&](std::uint32_t index) { return server_changed_[index]; });
}

PlacementPtr PlacementTable::make_placement(const routing::Snapshot& snapshot,
                                            const routing::RequestClassRoute& request_class,
                                            const PlacementTable* before) const {
  const bool has_server_list = !request_class.servers.all();
  const ServerIndices& servers = has_server_list ? *request_class.servers.places : all_indices_;
  PlacementPtr old;
  if (before) {
    auto found = before->placements_.find({request_class.servers.places.get(), request_class.subset_size});
    if (found != before->placements_.end()) old = found->second;
  }
  if (old && !any_changed(servers)) return old;
  auto made = std::make_shared<Placement>();
  made->subsets = subsets_of(snapshot, servers, request_class.subset_size, old.get());
  made->nodes_by_subset =
      make_nodes_by_subset(snapshot, servers, made->subsets.get(), has_server_list, old.get());
  made->in_flight = in_flight_of(servers);
  made->digest = digest_of(servers, made->subsets.get());
  return made;
}

std::shared_ptr<const routing::Subsets> PlacementTable::subsets_of(const routing::Snapshot& snapshot,
                                                                   const ServerIndices& servers,
                                                                   std::uint32_t size,
                                                                   const Placement* old) const {
  if (size == 0 || size >= servers.size()) return nullptr;
  if (old && same_server_order_) return old->subsets;
  return std::make_shared<const routing::Subsets>(snapshot.nodes, servers, size);
}

NodeList PlacementTable::in_service(const ServerIndices& servers) const {
  NodeList out;
  for (std::uint32_t index : servers) {
    if (nodes_[index]->health == Health::kHealthy) out.push_back(nodes_[index]);
  }
  return out;
}

NodeList PlacementTable::nodes_at(const ServerIndices& servers) const {
  NodeList out;
  for (std::uint32_t index : servers) out.push_back(nodes_[index]);
  return out;
}

// A request class with its own server list and no healthy server keeps all servers of the list: they reject
// the requests themselves. An empty endpoint list would make the whole resource set inconsistent and block
// updates of all other services. For a class that runs on all servers the list stays empty, because then no
// server of the fleet is healthy, and the previous set stays in use.
NodeListPtr PlacementTable::nodes_without_subsets(const ServerIndices& servers, bool has_server_list,
                                                  const Placement* old) const {
  NodeList list = in_service(servers);
  if (list.empty() && has_server_list) list = nodes_at(servers);
  return reuse_if_equal(old && !old->nodes_by_subset.empty() ? old->nodes_by_subset.front() : nullptr,
                        std::move(list));
}

// True if no member of the subset has changed and enough members are healthy that the subset is not filled
// up from other subsets, neither now nor in the previous snapshot.
bool PlacementTable::is_reusable(const routing::Subsets& subsets, std::size_t subset) const {
  const ServerIndices& members = subsets.members(subset);
  if (any_changed(members)) return false;
  auto healthy_count = std::count_if(members.begin(), members.end(), [&](std::uint32_t index) {
    return nodes_[index]->health == Health::kHealthy;
  });
  return static_cast<std::size_t>(healthy_count) >= subsets.min_in_service();
}

std::vector<NodeListPtr> PlacementTable::make_nodes_by_subset(const routing::Snapshot& snapshot,
                                                              const ServerIndices& servers,
                                                              const routing::Subsets* subsets,
                                                              bool has_server_list,
                                                              const Placement* old) const {
  if (!subsets) return {nodes_without_subsets(servers, has_server_list, old)};
  const bool comparable = old && old->subsets.get() == subsets;
  std::vector<NodeListPtr> out;
  for (std::size_t subset = 0; subset < subsets->count(); ++subset) {
    NodeListPtr before = comparable ? old->nodes_by_subset[subset] : nullptr;
    if (before && is_reusable(*subsets, subset)) {
      out.push_back(std::move(before));
      continue;
    }
    ServerIndices in_service_now = subsets->in_service(subset, snapshot.nodes);
    out.push_back(reuse_if_equal(
        before, nodes_at(in_service_now.empty() && has_server_list ? servers : in_service_now)));
  }
  return out;
}

double PlacementTable::in_flight_of(const ServerIndices& servers) const {
  double all = 0;
  for (std::uint32_t index : servers) {
    if (nodes_[index]->health != Health::kHealthy) continue;
    if (in_flight_[index] == 0) return 0;
    all += in_flight_[index];
  }
  return all;
}

std::uint64_t PlacementTable::digest_of(const ServerIndices& servers, const routing::Subsets* subsets) const {
  std::vector<std::uint64_t> all = {subsets ? subsets->size() : 0};
  for (std::uint32_t index : servers) all.push_back(fingerprints_[index]);
  return XXH3_64bits(all.data(), all.size() * sizeof all.front());
}

}  // namespace myrtlecroft::xds
