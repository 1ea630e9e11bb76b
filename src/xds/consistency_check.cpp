// Whether a set may be served, by what was serialised.
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

class SoundnessCheck {
 public:
  // Only the set that it was made from says what is shared.
  SoundnessCheck(const ResourceSet& set, const ResourceSet* before)
      : set_(set), before_(before && before->number == set.before ? before : nullptr) {}

  std::string fault() const {
    if (set_.of(ResourceType::kListeners).empty()) return "no listener";
    std::string fault;
    auto look = [&](ResourceType type, auto check) {
      for (auto one = set_.of(type).begin(); one != set_.of(type).end() && fault.empty(); ++one) {
        fault = check(one->first, *one->second);
      }
    };
    look(ResourceType::kListeners, [&](const auto& name, const auto& one) { return of_listener(name, one); });
    look(ResourceType::kRoutes, [&](const auto& name, const auto& one) { return of_routes(name, one); });
    look(ResourceType::kClusters, [&](const auto& name, const auto& one) { return of_cluster(name, one); });
    look(ResourceType::kEndpoints,
         [&](const auto& name, const auto& one) { return of_endpoints(name, one); });
    return fault;
  }

 private:
  bool has(ResourceType type, const std::string& name) const { return set_.of(type).contains(name); }
  // It was looked at in the set before.
  bool known(ResourceType type, const std::string& name, const Resource& resource) const {
    if (!before_) return false;
    auto found = before_->of(type).find(name);
    return found != before_->of(type).end() && found->second.get() == &resource;
  }
  // It is known, and nothing that it may refer to has gone.
  bool run_completed(ResourceType type, ResourceType to, const std::string& name,
                     const Resource& resource) const {
    return known(type, name, resource) && !set_.has_removals[static_cast<std::size_t>(to)];
  }

  std::string of_listener(const std::string& name, const Resource& resource) const {
    if (run_completed(ResourceType::kListeners, ResourceType::kRoutes, name, resource)) return "";
    listener::Listener body;
    if (!parse_back(resource, body) || body.name() != name) return "listener " + name + " can't be read back";
    for (const std::string& to : resource.references) {
      if (!has(ResourceType::kRoutes, to)) return "listener " + name + " refers to no routes";
    }
    return "";
  }

  std::string of_routes(const std::string& name, const Resource& resource) const {
    if (run_completed(ResourceType::kRoutes, ResourceType::kClusters, name, resource)) return "";
    route::RouteConfiguration body;
    if (!parse_back(resource, body) || body.name() != name) return "routes " + name + " can't be read back";
    for (const auto& host : body.virtual_hosts()) {
      for (const auto& one : host.routes()) {
        if (one.has_route() && !has(ResourceType::kClusters, one.route().cluster())) {
          return "route " + one.name() + " goes to no cluster";
        }
      }
    }
    return "";
  }

  std::string of_cluster(const std::string& name, const Resource& resource) const {
    if (run_completed(ResourceType::kClusters, ResourceType::kEndpoints, name, resource)) return "";
    cluster::Cluster body;
    if (!parse_back(resource, body) || body.name() != name) return "cluster " + name + " can't be read back";
    return has(ResourceType::kEndpoints, name) ? "" : "cluster " + name + " has no endpoints";
  }

  // Of subsets one is read back: the others are made in the same way, when they are asked for.
  std::string of_endpoints(const std::string& name, const Resource& resource) const {
    if (known(ResourceType::kEndpoints, name, resource)) return "";
    if (!resource.subsets) return of_endpoints_read_back(name, resource);
    if (std::string fault = resource.subsets->fault(); !fault.empty())
      return "endpoints " + name + ": " + fault;
    return of_endpoints_read_back(name, *resource.subsets->at(0));
  }

  static std::string of_endpoints_read_back(const std::string& name, const Resource& resource) {
    endpoint::ClusterLoadAssignment body;
    if (!parse_back(resource, body) || body.cluster_name() != name) {
      return "endpoints " + name + " can't be read back";
    }
    return body.endpoints_size() == 0 ? "cluster " + name + " has no endpoints" : "";
  }

  const ResourceSet& set_;
  const ResourceSet* before_;
};

}  // namespace

std::string find_inconsistency(const ResourceSet& set, const ResourceSet* before) {
  return SoundnessCheck(set, before).fault();
}

}  // namespace myrtlecroft::xds
