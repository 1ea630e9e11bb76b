// Builds resource sets. Resources that did not change are taken from the previous set.
#include <algorithm>
#include <utility>

#include "xds/cluster_messages.h"
#include "xds/endpoint_messages.h"
#include "xds/placement.h"
#include "xds/resources.h"
#include "xds/route_messages.h"
#include "xds/serialise.h"
#include "xds/subset_resources.h"

namespace myrtlecroft::xds {

struct BuildInputs {
  routing::Snapshot snapshot;
  PlacementTable placements;
};

namespace {

using google::protobuf::Message;
using routing::NodeRoute;
using routing::RequestClassRoute;
using routing::Snapshot;

// Limit on the retired clusters that are remembered; those of the newest set come first.
constexpr std::size_t kMaxRetiredClusters = 1000;

bool has_keyed_class(const Snapshot& snapshot) {
  return std::any_of(snapshot.request_classes.begin(), snapshot.request_classes.end(),
                     [](const RequestClassRoute& request_class) {
                       return request_class.idempotency == Idempotency::kKeyed;
                     });
}

// True if equal routes are made from both request classes, apart from shard owners.
bool same_route(const RequestClassRoute& one, const RequestClassRoute& other) {
  return one.name == other.name && one.path == other.path && one.idempotency == other.idempotency &&
         one.key_header == other.key_header && one.timeout == other.timeout &&
         one.retry_policy == other.retry_policy && one.retry_after == other.retry_after;
}

// Builds one resource set. `before`: the previous set, whose unchanged resources are reused; may be null.
class ResourceBuilder {
 public:
  ResourceBuilder(const Snapshot& from, const ResourceSet* before)
      : previous_set_(before),
        previous_inputs_(before ? before->build_inputs.get() : nullptr),
        inputs_(std::make_shared<BuildInputs>(BuildInputs{
            from, PlacementTable(from, previous_inputs_ ? &previous_inputs_->placements : nullptr)})),
        snapshot_(inputs_->snapshot),
        placements_(inputs_->placements),
        has_keyed_class_(has_keyed_class(snapshot_)),
        same_shard_owners_(compare_shard_owners()) {}

  std::shared_ptr<const ResourceSet> build(std::uint64_t number) {
    out_->number = number;
    out_->build_inputs = inputs_;
    for (std::size_t at = 0; at < snapshot_.request_classes.size(); ++at) add_request_class(at);
    for (std::size_t index = 0; has_keyed_class_ && index < snapshot_.nodes.size(); ++index)
      add_server(index);
    add_fleet_routes();
    for (std::size_t at = 0; snapshot_.service_listeners && at < snapshot_.request_classes.size(); ++at)
      add_service(at);
    add_listener(snapshot_.listener);
    if (!reuse_runtime_if_equal()) add(ResourceType::kRuntime, kRuntimeName, runtime_message(snapshot_), {});
    compute_changes();
    return out_;
  }

 private:
  // ---- Reuse of the previous set

  Resources& resources(ResourceType type) { return out_->by_type[static_cast<std::size_t>(type)]; }
  ResourcePtr previous_resource(ResourceType type, const std::string& name) const {
    if (!previous_set_) return nullptr;
    auto found = previous_set_->of(type).find(name);
    return found == previous_set_->of(type).end() ? nullptr : found->second;
  }
  // Takes the resource of this name from the previous set; returns false if there is none.
  bool reuse(ResourceType type, const std::string& name) {
    ResourcePtr old = previous_resource(type, name);
    if (!old) return false;
    resources(type)[name] = std::move(old);
    return true;
  }
  void insert(ResourceType type, ResourcePtr made) {
    ResourcePtr old = previous_resource(type, made->name);
    bool same = old && old->version == made->version;
    std::string name = made->name;
    resources(type)[name] = same ? std::move(old) : std::move(made);
  }
  void add(ResourceType type, const std::string& name, const Message& message,
           std::vector<std::string> references) {
    insert(type, make_resource(type, name, message, std::move(references)));
  }
  // The request class at the same index in the previous snapshot; null if it had another name there.
  const RequestClassRoute* previous_class(std::size_t at) const {
    if (!previous_inputs_ || at >= previous_inputs_->snapshot.request_classes.size()) return nullptr;
    const RequestClassRoute& old = previous_inputs_->snapshot.request_classes[at];
    return old.name == snapshot_.request_classes[at].name ? &old : nullptr;
  }
  // Compares everything that routes to shard owners are made from, apart from the request class itself.
  bool compare_shard_owners() const {
    return previous_inputs_ && placements_.same_server_order() &&
           previous_inputs_->snapshot.shards == snapshot_.shards &&
           previous_inputs_->snapshot.shard_digits == snapshot_.shard_digits &&
           previous_inputs_->snapshot.closed_retry_after == snapshot_.closed_retry_after;
  }
  bool has_same_routes(std::size_t at) const {
    const RequestClassRoute* old = previous_class(at);
    return old && same_route(*old, snapshot_.request_classes[at]) &&
           (same_shard_owners_ || snapshot_.request_classes[at].idempotency != Idempotency::kKeyed);
  }

  // ---- Clusters and endpoints

  void add_request_class(std::size_t at) {
    const RequestClassRoute& request_class = snapshot_.request_classes[at];
    if (request_class.idempotency == Idempotency::kKeyed) return;
    const std::string name = request_class_cluster_name(request_class.name);
    const PlacementPtr& placement = placements_.placement_of(at);
    const RequestClassRoute* old = previous_class(at);
    bool placed_as_before = old && previous_inputs_->placements.placement_of(at) == placement;
    bool same_cluster = placed_as_before && old->key_header == request_class.key_header &&
                        previous_inputs_->snapshot.retry_budget == snapshot_.retry_budget;
    bool same_endpoints = placed_as_before && drop_share_of(*old) == drop_share_of(request_class);
    if (!same_cluster || !reuse(ResourceType::kClusters, name)) {
      std::uint32_t in_flight = placement->in_flight > 0 ? round_up_in_flight(placement->in_flight) : 0;
      add(ResourceType::kClusters, name,
          request_class_cluster(request_class, in_flight, snapshot_.retry_budget), {name});
    }
    if (same_endpoints && reuse(ResourceType::kEndpoints, name)) return;
    if (placement->subsets) {
      insert(ResourceType::kEndpoints,
             make_subsets_resource(request_class, placement,
                                   previous_resource(ResourceType::kEndpoints, name).get()));
    } else {
      add(ResourceType::kEndpoints, name,
          service_endpoints(name, *placement->nodes_by_subset[0], drop_share_of(request_class)), {});
    }
  }

  void add_server(std::size_t index) {
    const NodeRoute& node = snapshot_.nodes[index];
    const std::string name = server_cluster_name(node.name);
    bool same = placements_.same_server_order() && !placements_.server_changed(index) &&
                previous_inputs_->snapshot.retry_budget == snapshot_.retry_budget;
    if (same && reuse(ResourceType::kClusters, name) && reuse(ResourceType::kEndpoints, name)) return;
    add(ResourceType::kClusters, name, server_cluster(node, snapshot_.retry_budget), {name});
    add(ResourceType::kEndpoints, name, server_endpoints(node), {});
  }

  // ---- Listeners, routes and runtime layer

  void add_routes(const std::string& name, RouteMessage made) {
    add(ResourceType::kRoutes, name, made.routes, {made.clusters.begin(), made.clusters.end()});
  }

  void add_fleet_routes() {
    bool same = previous_inputs_ && previous_inputs_->snapshot.listener == snapshot_.listener &&
                previous_inputs_->snapshot.request_classes.size() == snapshot_.request_classes.size();
    for (std::size_t at = 0; same && at < snapshot_.request_classes.size(); ++at) same = has_same_routes(at);
    if (!same || !reuse(ResourceType::kRoutes, snapshot_.listener))
      add_routes(snapshot_.listener, fleet_routes(snapshot_));
  }

  void add_service(std::size_t at) {
    const RequestClassRoute& request_class = snapshot_.request_classes[at];
    add_listener(request_class.name);
    bool same = previous_inputs_ && previous_inputs_->snapshot.service_listeners && has_same_routes(at);
    if (!same || !reuse(ResourceType::kRoutes, request_class.name))
      add_routes(request_class.name, service_routes(snapshot_, request_class));
  }

  // A listener depends on its name alone.
  void add_listener(const std::string& name) {
    if (!reuse(ResourceType::kListeners, name))
      add(ResourceType::kListeners, name, listener_message(name), {name});
  }

  bool reuse_runtime_if_equal() {
    if (!previous_inputs_ || previous_inputs_->snapshot.tenants != snapshot_.tenants ||
        previous_inputs_->snapshot.request_classes.size() != snapshot_.request_classes.size()) {
      return false;
    }
    for (std::size_t at = 0; at < snapshot_.request_classes.size(); ++at) {
      const RequestClassRoute* old = previous_class(at);
      const RequestClassRoute& request_class = snapshot_.request_classes[at];
      if (!old || old->idempotency != request_class.idempotency) return false;
      if (request_class.idempotency == Idempotency::kNone && old->admitted != request_class.admitted)
        return false;
    }
    return reuse(ResourceType::kRuntime, kRuntimeName);
  }

  // ---- Changes since the previous set

  void compute_changes() {
    out_->previous_number = previous_set_ ? previous_set_->number : 0;
    for (std::size_t type = 0; type < kTypeCount; ++type) compute_changes(type);
    if (!previous_set_) return;
    const Resources& current = out_->of(ResourceType::kClusters);
    for (const Resources* old :
         {&previous_set_->of(ResourceType::kClusters), &previous_set_->retired_clusters}) {
      for (const auto& [name, resource] : *old) {
        if (!current.contains(name) && out_->retired_clusters.size() < kMaxRetiredClusters)
          out_->retired_clusters.emplace(name, resource);
      }
    }
  }

  // Merges the two maps, which are both sorted by name.
  void compute_changes(std::size_t type) {
    const Resources& current = out_->by_type[type];
    if (previous_set_) {
      const Resources& old = previous_set_->by_type[type];
      auto previous = old.begin();
      for (const auto& [name, resource] : current) {
        for (; previous != old.end() && previous->first < name; ++previous) out_->has_removals[type] = true;
        bool existed = previous != old.end() && previous->first == name;
        if (!existed || previous->second != resource) out_->changed[type].push_back(resource);
        if (existed) ++previous;
      }
      out_->has_removals[type] = out_->has_removals[type] || previous != old.end();
    }
    bool same = previous_set_ && out_->changed[type].empty() && !out_->has_removals[type];
    out_->versions[type] = same ? previous_set_->versions[type] : version_of(current);
  }

  const ResourceSet* previous_set_;
  const BuildInputs* previous_inputs_;
  std::shared_ptr<const BuildInputs> inputs_;
  const Snapshot& snapshot_;
  const PlacementTable& placements_;
  bool has_keyed_class_;
  bool same_shard_owners_;
  std::shared_ptr<ResourceSet> out_ = std::make_shared<ResourceSet>();
};

}  // namespace

std::shared_ptr<const ResourceSet> build_resource_set(const routing::PublishedSnapshot& published,
                                                      const ResourceSet* before) {
  return ResourceBuilder(published.snapshot, before).build(published.number);
}

}  // namespace myrtlecroft::xds
