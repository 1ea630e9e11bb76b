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

// A server at its place in both: subsets are made from these.
bool same_place(const NodeRoute& one, const NodeRoute& other) {
  return one.name == other.name && one.zone == other.zone && one.priority == other.priority;
}

// Whether endpoints made from one are those made from the other.
bool same_endpoint(const NodeRoute& one, const NodeRoute& other) {
  return same_place(one, other) && one.host == other.host && one.port == other.port &&
         one.health == other.health && one.weight == other.weight;
}

std::uint64_t fingerprint_of(const NodeRoute& node) {
  std::string all;
  for (const std::string* text : {&node.name, &node.zone, &node.host}) (all += '\n') += *text;
  all += '\n' + std::to_string(node.port) + ' ' + std::to_string(node.priority) + ' ' +
         routing::name_of(node.health) + ' ' + std::to_string(node.weight);
  return XXH3_64bits(all.data(), all.size());
}

// That of the list before, where both have the same servers.
NodeListPtr shared_with(const NodeListPtr& before, NodeList list) {
  return before && *before == list ? before : std::make_shared<const NodeList>(std::move(list));
}

}  // namespace

PlacementTable::PlacementTable(const routing::Snapshot& snapshot, const PlacementTable* before)
    : nodes_(snapshot.nodes.size()),
      fingerprints_(snapshot.nodes.size()),
      touched_(snapshot.nodes.size(), true),
      all_(snapshot.nodes.size()) {
  std::iota(all_.begin(), all_.end(), 0u);
  for (const NodeRoute& node : snapshot.nodes) in_flight_.push_back(node.in_flight);
  if (before) share_nodes(snapshot, *before);
  for (std::size_t place = 0; place < nodes_.size(); ++place) {
    if (nodes_[place]) continue;
    nodes_[place] = std::make_shared<const NodeRoute>(snapshot.nodes[place]);
    fingerprints_[place] = fingerprint_of(snapshot.nodes[place]);
  }
  of_group_.reserve(snapshot.request_classes.size());
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    if (request_class.idempotency == Idempotency::kKeyed) {
      of_group_.push_back(nullptr);
      continue;
    }
    PlacementPtr& shared = placements_[{request_class.servers.places.get(), request_class.subset_size}];
    if (!shared) {
      shared = place(snapshot, request_class, before);
      lists_.push_back(request_class.servers);
    }
    of_group_.push_back(shared);
  }
}

void PlacementTable::share_nodes(const routing::Snapshot& snapshot, const PlacementTable& before) {
  same_places_ = nodes_.size() == before.nodes_.size();
  std::unordered_map<std::string_view, NodePtr> known;  // by name; only where places have changed
  for (std::size_t place = 0; place < nodes_.size(); ++place) {
    const NodeRoute& now = snapshot.nodes[place];
    NodePtr old = place < before.nodes_.size() ? before.nodes_[place] : nullptr;
    if (!old || !same_place(*old, now)) {
      same_places_ = false;
      if (known.empty()) {
        for (const NodePtr& node : before.nodes_) known.emplace(node->name, node);
      }
      auto found = known.find(now.name);
      old = found == known.end() ? nullptr : found->second;
    }
    if (!old || !same_endpoint(*old, now)) continue;
    nodes_[place] = old;
    bool same_place = place < before.nodes_.size() && before.nodes_[place] == old;
    fingerprints_[place] = same_place ? before.fingerprints_[place] : fingerprint_of(now);
    touched_[place] = place >= before.in_flight_.size() || before.in_flight_[place] != now.in_flight;
  }
}

bool PlacementTable::any_touched(const ServerIndices& servers) const {
  return !same_places_ ||
         std::any_of(servers.begin(), servers.end(), [&](std::uint32_t place) { return touched_[place]; });
}

PlacementPtr PlacementTable::place(const routing::Snapshot& snapshot,
                                   const routing::RequestClassRoute& request_class,
                                   const PlacementTable* before) const {
  const bool named = !request_class.servers.all();
  const ServerIndices& servers = named ? *request_class.servers.places : all_;
  PlacementPtr old;
  if (before) {
    auto found = before->placements_.find({request_class.servers.places.get(), request_class.subset_size});
    if (found != before->placements_.end()) old = found->second;
  }
  if (old && !any_touched(servers)) return old;
  auto made = std::make_shared<Placement>();
  made->subsets = subsets_of(snapshot, servers, request_class.subset_size, old.get());
  made->serving = serving_of(snapshot, servers, made->subsets.get(), named, old.get());
  made->in_flight = in_flight_of(servers);
  made->digest = digest_of(servers, made->subsets.get());
  return made;
}

std::shared_ptr<const routing::Subsets> PlacementTable::subsets_of(const routing::Snapshot& snapshot,
                                                                   const ServerIndices& servers,
                                                                   std::uint32_t size,
                                                                   const Placement* old) const {
  if (size == 0 || size >= servers.size()) return nullptr;
  if (old && same_places_) return old->subsets;
  return std::make_shared<const routing::Subsets>(snapshot.nodes, servers, size);
}

NodeList PlacementTable::in_service(const ServerIndices& servers) const {
  NodeList out;
  for (std::uint32_t place : servers) {
    if (nodes_[place]->health == Health::kHealthy) out.push_back(nodes_[place]);
  }
  return out;
}

NodeList PlacementTable::as_they_are(const ServerIndices& servers) const {
  NodeList out;
  for (std::uint32_t place : servers) out.push_back(nodes_[place]);
  return out;
}

// A service of which nobody is in service keeps its servers as they are: what is sent there is refused there.
// An empty one would make the whole set unfit, and hold up all other services. Where a service runs on all
// servers, none is in service at all, and the last set stays.
NodeListPtr PlacementTable::serving_all(const ServerIndices& servers, bool named,
                                        const Placement* old) const {
  NodeList list = in_service(servers);
  if (list.empty() && named) list = as_they_are(servers);
  return shared_with(old && !old->serving.empty() ? old->serving.front() : nullptr, std::move(list));
}

// None of its own servers has changed, and enough of them are in service, now and so before too: it was not
// filled up from other subsets, and is not.
bool PlacementTable::may_be_taken_over(const routing::Subsets& subsets, std::size_t subset) const {
  const ServerIndices& members = subsets.members(subset);
  if (any_touched(members)) return false;
  auto up = std::count_if(members.begin(), members.end(),
                          [&](std::uint32_t place) { return nodes_[place]->health == Health::kHealthy; });
  return static_cast<std::size_t>(up) >= subsets.min_in_service();
}

std::vector<NodeListPtr> PlacementTable::serving_of(const routing::Snapshot& snapshot,
                                                    const ServerIndices& servers,
                                                    const routing::Subsets* subsets, bool named,
                                                    const Placement* old) const {
  if (!subsets) return {serving_all(servers, named, old)};
  const bool comparable = old && old->subsets.get() == subsets;
  std::vector<NodeListPtr> out;
  for (std::size_t subset = 0; subset < subsets->count(); ++subset) {
    NodeListPtr before = comparable ? old->serving[subset] : nullptr;
    if (before && may_be_taken_over(*subsets, subset)) {
      out.push_back(std::move(before));
      continue;
    }
    ServerIndices told = subsets->in_service(subset, snapshot.nodes);
    out.push_back(shared_with(before, as_they_are(told.empty() && named ? servers : told)));
  }
  return out;
}

double PlacementTable::in_flight_of(const ServerIndices& servers) const {
  double all = 0;
  for (std::uint32_t place : servers) {
    if (nodes_[place]->health != Health::kHealthy) continue;
    if (in_flight_[place] == 0) return 0;
    all += in_flight_[place];
  }
  return all;
}

std::uint64_t PlacementTable::digest_of(const ServerIndices& servers, const routing::Subsets* subsets) const {
  std::vector<std::uint64_t> all = {subsets ? subsets->size() : 0};
  for (std::uint32_t place : servers) all.push_back(fingerprints_[place]);
  return XXH3_64bits(all.data(), all.size() * sizeof all.front());
}

}  // namespace myrtlecroft::xds
