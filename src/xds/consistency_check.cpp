// Checks that a resource set may be served. The check reads the serialised resources.
#include "cluster.pb.h"
#include "endpoint.pb.h"
#include "listener.pb.h"
#include "route.pb.h"
#include "xds/resources.h"
#include "xds/serialise.h"
#include "xds/subset_resources.h"

namespace myrtlecroft::xds {
namespace {

namespace cluster = envoy::config::cluster::v3;
namespace endpoint = envoy::config::endpoint::v3;
namespace listener = envoy::config::listener::v3;
namespace route = envoy::config::route::v3;

class ConsistencyCheck {
 public:
  // `before` is used only if `set` was built from it: `changed` and `has_removals` compare with that set
  // alone.
  ConsistencyCheck(const ResourceSet& set, const ResourceSet* before)
      : set_(set), previous_(before && before->number == set.previous_number ? before : nullptr) {}

  std::string find_fault() const {
    if (set_.of(ResourceType::kListeners).empty()) return "no listener";
    std::string fault;
    auto check_all = [&](ResourceType type, auto check) {
      for (auto one = set_.of(type).begin(); one != set_.of(type).end() && fault.empty(); ++one) {
        fault = check(one->first, *one->second);
      }
    };
    check_all(ResourceType::kListeners,
              [&](const auto& name, const auto& one) { return check_listener(name, one); });
    check_all(ResourceType::kRoutes,
              [&](const auto& name, const auto& one) { return check_routes(name, one); });
    check_all(ResourceType::kClusters,
              [&](const auto& name, const auto& one) { return check_cluster(name, one); });
    check_all(ResourceType::kEndpoints,
              [&](const auto& name, const auto& one) { return check_endpoints(name, one); });
    return fault;
  }

 private:
  bool contains(ResourceType type, const std::string& name) const { return set_.of(type).contains(name); }
  // True if the previous set has the same resource, which was checked there.
  bool is_unchanged(ResourceType type, const std::string& name, const Resource& resource) const {
    if (!previous_) return false;
    auto found = previous_->of(type).find(name);
    return found != previous_->of(type).end() && found->second.get() == &resource;
  }
  // True if the resource is unchanged and no resource of the type that it refers to was removed.
  bool is_checked(ResourceType type, ResourceType to, const std::string& name,
                  const Resource& resource) const {
    return is_unchanged(type, name, resource) && !set_.has_removals[static_cast<std::size_t>(to)];
  }

  std::string check_listener(const std::string& name, const Resource& resource) const {
    if (is_checked(ResourceType::kListeners, ResourceType::kRoutes, name, resource)) return "";
    listener::Listener body;
    if (!parse_encoded(resource, body) || body.name() != name) return "listener " + name + " can't be parsed";
    for (const std::string& to : resource.references) {
      if (!contains(ResourceType::kRoutes, to)) return "listener " + name + " refers to missing routes";
    }
    return "";
  }

  std::string check_routes(const std::string& name, const Resource& resource) const {
    if (is_checked(ResourceType::kRoutes, ResourceType::kClusters, name, resource)) return "";
    route::RouteConfiguration body;
    if (!parse_encoded(resource, body) || body.name() != name) return "routes " + name + " can't be parsed";
    for (const auto& host : body.virtual_hosts()) {
      for (const auto& one : host.routes()) {
        if (one.has_route() && !contains(ResourceType::kClusters, one.route().cluster())) {
          return "route " + one.name() + " refers to a missing cluster";
        }
      }
    }
    return "";
  }

  std::string check_cluster(const std::string& name, const Resource& resource) const {
    if (is_checked(ResourceType::kClusters, ResourceType::kEndpoints, name, resource)) return "";
    cluster::Cluster body;
    if (!parse_encoded(resource, body) || body.name() != name) return "cluster " + name + " can't be parsed";
    return contains(ResourceType::kEndpoints, name) ? "" : "cluster " + name + " has no endpoints";
  }

  // Of the subsets only the first one is parsed back: the others are made by the same code when a caller
  // asks for them.
  std::string check_endpoints(const std::string& name, const Resource& resource) const {
    if (is_unchanged(ResourceType::kEndpoints, name, resource)) return "";
    if (!resource.subsets) return check_encoded_endpoints(name, resource);
    if (std::string fault = resource.subsets->find_fault(); !fault.empty())
      return "endpoints " + name + ": " + fault;
    return check_encoded_endpoints(name, *resource.subsets->at(0));
  }

  static std::string check_encoded_endpoints(const std::string& name, const Resource& resource) {
    endpoint::ClusterLoadAssignment body;
    if (!parse_encoded(resource, body) || body.cluster_name() != name) {
      return "endpoints " + name + " can't be parsed";
    }
    return body.endpoints_size() == 0 ? "cluster " + name + " has no endpoints" : "";
  }

  const ResourceSet& set_;
  const ResourceSet* previous_;
};

}  // namespace

std::string find_inconsistency(const ResourceSet& set, const ResourceSet* before) {
  return ConsistencyCheck(set, before).find_fault();
}

}  // namespace myrtlecroft::xds
