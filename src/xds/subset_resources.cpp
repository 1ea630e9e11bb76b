#include "xds/subset_resources.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "xds/serialise.h"

namespace myrtlecroft::xds {

SubsetResources::SubsetResources(const routing::RequestClassRoute& request_class, PlacementPtr placement,
                                 const SubsetResources* before)
    : cluster_(request_class_cluster_name(request_class.name)),
      service_key_(routing::service_key(request_class.name)),
      drop_share_(drop_share_of(request_class)),
      placement_(std::move(placement)),
      serialised_(placement_->nodes_by_subset.size()) {
  if (!before || before->drop_share_ != drop_share_) return;
  std::lock_guard lock(before->mutex_);
  const std::size_t common_count = std::min(serialised_.size(), before->serialised_.size());
  for (std::size_t subset = 0; subset < common_count; ++subset) {
    if (placement_->nodes_by_subset[subset] == before->placement_->nodes_by_subset[subset])
      serialised_[subset] = before->serialised_[subset];
  }
}

ResourcePtr SubsetResources::at(std::size_t subset) const {
  std::lock_guard lock(mutex_);
  ResourcePtr& made = serialised_[subset];
  if (!made) {
    made = make_resource(ResourceType::kEndpoints, cluster_,
                         service_endpoints(cluster_, *placement_->nodes_by_subset[subset], drop_share_), {});
  }
  return made;
}

ResourcePtr SubsetResources::for_caller(const Caller& caller) const {
  return at(placement_->subsets->subset_of_caller(caller.key, service_key_));
}

std::size_t SubsetResources::serialised_count() const {
  std::lock_guard lock(mutex_);
  return serialised_.size() -
         static_cast<std::size_t>(std::count(serialised_.begin(), serialised_.end(), nullptr));
}

std::string SubsetResources::find_fault() const {
  for (std::size_t subset = 0; subset < count(); ++subset) {
    if (placement_->nodes_by_subset[subset]->empty())
      return "subset " + std::to_string(subset) + " has no endpoints";
  }
  return "";
}

ResourcePtr make_subsets_resource(const routing::RequestClassRoute& request_class,
                                  const PlacementPtr& placement, const Resource* before) {
  std::string content =
      request_class.name + ' ' + hex(placement->digest) + ' ' + std::to_string(drop_share_of(request_class));
  auto made = std::make_shared<Resource>();
  made->name = request_class_cluster_name(request_class.name);
  made->version = hex(XXH3_64bits(content.data(), content.size()));
  made->subsets = std::make_shared<const SubsetResources>(request_class, placement,
                                                          before ? before->subsets.get() : nullptr);
  return made;
}

ResourcePtr resource_for_caller(const ResourcePtr& resource, const Caller& caller) {
  return resource && resource->subsets ? resource->subsets->for_caller(caller) : resource;
}

}  // namespace myrtlecroft::xds
