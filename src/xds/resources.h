// A snapshot as xDS v3 resources, each serialised once however many proxies get it. No I/O.
//
// Versions are hashes of the content: equal content has equal versions on every instance and over restarts.
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

// In the order in which proxies get what is new: what is referred to comes before what refers to it.
enum class ResourceType { kClusters, kEndpoints, kListeners, kRoutes, kRuntime };
constexpr std::size_t kTypes = 5;
constexpr std::array<ResourceType, kTypes> kAllTypes = {ResourceType::kClusters, ResourceType::kEndpoints,
                                                        ResourceType::kListeners, ResourceType::kRoutes,
                                                        ResourceType::kRuntime};
const std::string& type_url_of(ResourceType type);
const char* name_of(ResourceType type);
std::optional<ResourceType> type_of(std::string_view url);

class SubsetResources;
struct SetOrigin;

struct Resource {
  std::string name;
  std::string version;
  std::string sotw_encoding;            // as a field of DiscoveryResponse, tag and length included
  std::string delta_encoding;           // as a field of DeltaDiscoveryResponse, with version and name
  std::vector<std::string> references;  // names of the resources it can't do without
  // Endpoints of a service with subsets: this one stands for those of each subset, and is never sent itself.
  std::shared_ptr<const SubsetResources> subsets = nullptr;
};
using ResourcePtr = std::shared_ptr<const Resource>;
using Resources = std::map<std::string, ResourcePtr>;

// Who is served. Callers with the same subset of a service share its resource.
struct Caller {
  std::uint64_t key = 0;  // routing::caller_key
};
// What this caller is told in the place of a resource of a set.
ResourcePtr resolved(const ResourcePtr& resource, const Caller& caller);

struct ResourceSet {
  std::uint64_t number = 0;  // of the publication
  std::array<Resources, kTypes> by_type;
  std::array<std::string, kTypes> versions;
  // Against the set with this number: what is new or other, and whether something is gone.
  std::uint64_t before = 0;
  std::array<std::vector<ResourcePtr>, kTypes> changed;  // in the order of their names
  std::array<bool, kTypes> has_removals{};
  // Clusters of sets before this one: a proxy that comes back with one of those needs them until it has the
  // routes of this one.
  Resources late_clusters;
  // What it was made from, so that the next one is made from what differs.
  std::shared_ptr<const SetOrigin> origin;

  const Resources& of(ResourceType type) const { return by_type[static_cast<std::size_t>(type)]; }
};

// All 16 digits: versions and digests as they are shown.
std::string hex(std::uint64_t value);

// What did not change since `before` is taken over from there: the set is the same as one made from nothing,
// but only what changed is made.
std::shared_ptr<const ResourceSet> build_resource_set(const routing::PublishedSnapshot& published,
                                                      const ResourceSet* before);

// What makes a set unfit to be served, as one line; empty when nothing does. It looks at what was serialised,
// not at the snapshot it came from. What the set shares with `before`, a fit one, is not looked at again.
std::string find_inconsistency(const ResourceSet& set, const ResourceSet* before = nullptr);

// A hash of names and versions.
std::string version_of(const Resources& resources);

// Cluster names.
std::string request_class_cluster_name(const std::string& request_class);
std::string cluster_of_node(const std::string& node);
// What a key of one of these shards looks like, for a proxy that matches headers.
std::string shard_key_pattern(const std::vector<std::size_t>& shards, int digits);

}  // namespace myrtlecroft::xds
