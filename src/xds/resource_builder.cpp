// Sets of resources, each made from what differs from the one before.
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

struct SetOrigin {
  routing::Snapshot snapshot;
  PlacementTable placements;
};

namespace {

using google::protobuf::Message;
using routing::NodeRoute;
using routing::RequestClassRoute;
using routing::Snapshot;

constexpr std::size_t kMaxLate = 1000;  // clusters that are gone, remembered; of the newest that went first

bool has_owners(const Snapshot& snapshot) {
  return std::any_of(snapshot.request_classes.begin(), snapshot.request_classes.end(),
                     [](const RequestClassRoute& request_class) {
                       return request_class.idempotency == Idempotency::kKeyed;
                     });
}

// Whether routes made from one are those made from the other.
bool same_route(const RequestClassRoute& one, const RequestClassRoute& other) {
  return one.name == other.name && one.path == other.path && one.idempotency == other.idempotency &&
         one.key_header == other.key_header && one.timeout == other.timeout &&
         one.retry_policy == other.retry_policy && one.retry_after == other.retry_after;
}

class ResourceBuilder {
 public:
  ResourceBuilder(const Snapshot& from, const ResourceSet* before)
      : before_(before),
        old_(before ? before->origin.get() : nullptr),
        origin_(std::make_shared<SetOrigin>(
            SetOrigin{from, PlacementTable(from, old_ ? &old_->placements : nullptr)})),
        from_(origin_->snapshot),
        placements_(origin_->placements),
        owners_(has_owners(from_)),
        same_owners_(find_same_owners()) {}

  std::shared_ptr<const ResourceSet> make(std::uint64_t number) {
    out_->number = number;
    out_->origin = origin_;
    for (std::size_t at = 0; at < from_.request_classes.size(); ++at) add_request_class(at);
    for (std::size_t place = 0; owners_ && place < from_.nodes.size(); ++place) add_node(place);
    add_fleet_routes();
    for (std::size_t at = 0; from_.service_listeners && at < from_.request_classes.size(); ++at)
      add_service(at);
    add_listener(from_.listener);
    if (!same_runtime()) add(ResourceType::kRuntime, kRuntimeName, runtime_message(from_), {});
    compare();
    return out_;
  }

 private:
  // ---- What stays

  Resources& of(ResourceType type) { return out_->by_type[static_cast<std::size_t>(type)]; }
  ResourcePtr old_resource(ResourceType type, const std::string& name) const {
    if (!before_) return nullptr;
    auto found = before_->of(type).find(name);
    return found == before_->of(type).end() ? nullptr : found->second;
  }
  // True where there was one by this name: it stays.
  bool keep(ResourceType type, const std::string& name) {
    ResourcePtr old = old_resource(type, name);
    if (!old) return false;
    of(type)[name] = std::move(old);
    return true;
  }
  void put(ResourceType type, ResourcePtr made) {
    ResourcePtr old = old_resource(type, made->name);
    bool same = old && old->version == made->version;
    std::string name = made->name;
    of(type)[name] = same ? std::move(old) : std::move(made);
  }
  void add(ResourceType type, const std::string& name, const Message& message,
           std::vector<std::string> references) {
    put(type, make_resource(type, name, message, std::move(references)));
  }
  // The group at the same place before, where it had the same name.
  const RequestClassRoute* old_class(std::size_t at) const {
    if (!old_ || at >= old_->snapshot.request_classes.size()) return nullptr;
    const RequestClassRoute& old = old_->snapshot.request_classes[at];
    return old.name == from_.request_classes[at].name ? &old : nullptr;
  }
  // All that routes by owner are made from, beside their group.
  bool find_same_owners() const {
    return old_ && placements_.same_places() && old_->snapshot.shards == from_.shards &&
           old_->snapshot.shard_digits == from_.shard_digits &&
           old_->snapshot.closed_retry_after == from_.closed_retry_after;
  }
  bool same_routes_of(std::size_t at) const {
    const RequestClassRoute* old = old_class(at);
    return old && same_route(*old, from_.request_classes[at]) &&
           (same_owners_ || from_.request_classes[at].idempotency != Idempotency::kKeyed);
  }

  // ---- Clusters and endpoints

  void add_request_class(std::size_t at) {
    const RequestClassRoute& request_class = from_.request_classes[at];
    if (request_class.idempotency == Idempotency::kKeyed) return;
    const std::string name = request_class_cluster_name(request_class.name);
    const PlacementPtr& placement = placements_.of_group(at);
    const RequestClassRoute* old = old_class(at);
    bool placed_as_before = old && old_->placements.of_group(at) == placement;
    bool same_cluster = placed_as_before && old->key_header == request_class.key_header &&
                        old_->snapshot.retry_budget == from_.retry_budget;
    bool same_endpoints = placed_as_before && dropped_of(*old) == dropped_of(request_class);
    if (!same_cluster || !keep(ResourceType::kClusters, name)) {
      std::uint32_t in_flight = placement->in_flight > 0 ? in_flight_step(placement->in_flight) : 0;
      add(ResourceType::kClusters, name, group_cluster(request_class, in_flight, from_.retry_budget), {name});
    }
    if (same_endpoints && keep(ResourceType::kEndpoints, name)) return;
    if (placement->subsets) {
      put(ResourceType::kEndpoints,
          make_subset_resource(request_class, placement, old_resource(ResourceType::kEndpoints, name).get()));
    } else {
      add(ResourceType::kEndpoints, name,
          service_endpoints(name, *placement->serving[0], dropped_of(request_class)), {});
    }
  }

  void add_node(std::size_t place) {
    const NodeRoute& node = from_.nodes[place];
    const std::string name = cluster_of_node(node.name);
    bool same = placements_.same_places() && !placements_.touched(place) &&
                old_->snapshot.retry_budget == from_.retry_budget;
    if (same && keep(ResourceType::kClusters, name) && keep(ResourceType::kEndpoints, name)) return;
    add(ResourceType::kClusters, name, node_cluster(node, from_.retry_budget), {name});
    add(ResourceType::kEndpoints, name, node_endpoints(node), {});
  }

  // ---- Listeners, routes and runtime layer

  void add_routes(const std::string& name, RouteMessage made) {
    add(ResourceType::kRoutes, name, made.routes, {made.clusters.begin(), made.clusters.end()});
  }

  void add_fleet_routes() {
    bool same = old_ && old_->snapshot.listener == from_.listener &&
                old_->snapshot.request_classes.size() == from_.request_classes.size();
    for (std::size_t at = 0; same && at < from_.request_classes.size(); ++at) same = same_routes_of(at);
    if (!same || !keep(ResourceType::kRoutes, from_.listener))
      add_routes(from_.listener, fleet_routes(from_));
  }

  void add_service(std::size_t at) {
    const RequestClassRoute& request_class = from_.request_classes[at];
    add_listener(request_class.name);
    bool same = old_ && old_->snapshot.service_listeners && same_routes_of(at);
    if (!same || !keep(ResourceType::kRoutes, request_class.name))
      add_routes(request_class.name, service_routes(from_, request_class));
  }

  // A listener is made from its name alone.
  void add_listener(const std::string& name) {
    if (!keep(ResourceType::kListeners, name))
      add(ResourceType::kListeners, name, listener_message(name), {name});
  }

  bool same_runtime() {
    if (!old_ || old_->snapshot.tenants != from_.tenants ||
        old_->snapshot.request_classes.size() != from_.request_classes.size()) {
      return false;
    }
    for (std::size_t at = 0; at < from_.request_classes.size(); ++at) {
      const RequestClassRoute* old = old_class(at);
      const RequestClassRoute& request_class = from_.request_classes[at];
      if (!old || old->idempotency != request_class.idempotency) return false;
      if (request_class.idempotency == Idempotency::kNone && old->admitted != request_class.admitted)
        return false;
    }
    return keep(ResourceType::kRuntime, kRuntimeName);
  }

  // ---- What is new

  void compare() {
    out_->before = before_ ? before_->number : 0;
    for (std::size_t type = 0; type < kTypes; ++type) compare(type);
    if (!before_) return;
    const Resources& now = out_->of(ResourceType::kClusters);
    for (const Resources* old : {&before_->of(ResourceType::kClusters), &before_->late_clusters}) {
      for (const auto& [name, resource] : *old) {
        if (!now.contains(name) && out_->late_clusters.size() < kMaxLate)
          out_->late_clusters.emplace(name, resource);
      }
    }
  }

  // Both maps are in the order of names.
  void compare(std::size_t type) {
    const Resources& now = out_->by_type[type];
    if (before_) {
      const Resources& old = before_->by_type[type];
      auto had = old.begin();
      for (const auto& [name, resource] : now) {
        for (; had != old.end() && had->first < name; ++had) out_->has_removals[type] = true;
        bool there = had != old.end() && had->first == name;
        if (!there || had->second != resource) out_->changed[type].push_back(resource);
        if (there) ++had;
      }
      out_->has_removals[type] = out_->has_removals[type] || had != old.end();
    }
    bool same = before_ && out_->changed[type].empty() && !out_->has_removals[type];
    out_->versions[type] = same ? before_->versions[type] : version_of(now);
  }

  const ResourceSet* before_;
  const SetOrigin* old_;
  std::shared_ptr<const SetOrigin> origin_;
  const Snapshot& from_;
  const PlacementTable& placements_;
  bool owners_;
  bool same_owners_;
  std::shared_ptr<ResourceSet> out_ = std::make_shared<ResourceSet>();
};

}  // namespace

std::shared_ptr<const ResourceSet> build_resource_set(const routing::PublishedSnapshot& published,
                                                      const ResourceSet* before) {
  return ResourceBuilder(published.snapshot, before).make(published.number);
}

}  // namespace myrtlecroft::xds
