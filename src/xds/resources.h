// Turns a routing snapshot into xDS v3 resources. Each resource is serialised once, however many proxies
// receive it. No I/O.
//
// Versions are hashes of the content: equal content has equal versions on every replica and across
// restarts.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/snapshot.h"

namespace myrtlecroft::xds {

// In the order in which new resources are sent: a resource comes before those that refer to it.
enum class ResourceType { kClusters, kEndpoints, kListeners, kRoutes, kRuntime };
constexpr std::size_t kTypeCount = 5;
constexpr std::array<ResourceType, kTypeCount> kAllTypes = {ResourceType::kClusters, ResourceType::kEndpoints,
                                                            ResourceType::kListeners, ResourceType::kRoutes,
                                                            ResourceType::kRuntime};
const std::string& type_url_of(ResourceType type);
const char* name_of(ResourceType type);
// Returns nothing for a type that is not served.
std::optional<ResourceType> type_from_url(std::string_view url);

class SubsetResources;
struct BuildInputs;

struct Resource {
  std::string name;
  std::string version;
  std::string sotw_encoding;            // field of DiscoveryResponse, with tag and length
  std::string delta_encoding;           // field of DeltaDiscoveryResponse, with version and name
  std::vector<std::string> references;  // names of the resources that this one refers to
  // Set for the endpoints of a service with subsets. Such a resource stands for the resources of its
  // subsets and is never sent itself.
  std::shared_ptr<const SubsetResources> subsets = nullptr;
};
using ResourcePtr = std::shared_ptr<const Resource>;
using Resources = std::map<std::string, ResourcePtr>;

// Identifies a caller for the choice of its subsets. Callers with the same subset of a service share its
// resource.
struct Caller {
  std::uint64_t key = 0;  // routing::caller_key()
};
// Returns the resource that this caller receives in place of a resource of a set: that of its subset if
// there are subsets, otherwise `resource` itself.
ResourcePtr resource_for_caller(const ResourcePtr& resource, const Caller& caller);

// All resources of one publication. Immutable once built, and shared between threads and sessions.
struct ResourceSet {
  std::uint64_t number = 0;  // publication number
  std::array<Resources, kTypeCount> by_type;
  std::array<std::string, kTypeCount> versions;
  // Publication number of the set that this one was built from; 0 = none. `changed` and `has_removals`
  // compare with that set.
  std::uint64_t previous_number = 0;
  std::array<std::vector<ResourcePtr>, kTypeCount> changed;  // new or changed resources, sorted by name
  std::array<bool, kTypeCount> has_removals{};
  // Clusters of earlier sets. A proxy that reconnects with routes to one of them needs it until it has the
  // routes of this set.
  Resources retired_clusters;
  // The snapshot that the set was built from; the next set is built from the differences.
  std::shared_ptr<const BuildInputs> build_inputs;

  const Resources& of(ResourceType type) const { return by_type[static_cast<std::size_t>(type)]; }
};

// Formats versions and digests: 16 hexadecimal digits, with leading zeros.
std::string hex(std::uint64_t value);

// Builds the set of a publication. Resources that did not change since `before` (may be null) are reused.
// The result equals a set that is built without `before`.
std::shared_ptr<const ResourceSet> build_resource_set(const routing::PublishedSnapshot& published,
                                                      const ResourceSet* before);

// Describes in one line why a set must not be served; empty if it is consistent. The check reads the
// serialised resources, not the snapshot. Resources shared with `before`, a consistent set, are not checked
// again.
std::string find_inconsistency(const ResourceSet& set, const ResourceSet* before = nullptr);

// Hashes names and versions.
std::string version_of(const Resources& resources);

// Cluster names.
std::string request_class_cluster_name(const std::string& request_class);
std::string server_cluster_name(const std::string& node);
// Returns a regular expression that matches the keys of these shards, for proxies that route by header.
// `digits`: leading hexadecimal digits of a key that select the shard.
std::string shard_key_pattern(const std::vector<std::size_t>& shards, int digits);

}  // namespace myrtlecroft::xds
