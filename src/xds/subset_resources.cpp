#include "xds/subset_resources.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "xds/serialise.h"

namespace myrtlecroft::xds {

SubsetResources::SubsetResources(const routing::RequestClassRoute& request_class, PlacementPtr placement,
                                 const SubsetResources* before)
    : cluster_(request_class_cluster_name(request_class.name)),
      service_(routing::service_key(request_class.name)),
      dropped_(dropped_of(request_class)),
      placement_(std::move(placement)),
      made_(placement_->serving.size()) {
  if (!before || before->dropped_ != dropped_) return;
  std::lock_guard lock(before->mutex_);
  const std::size_t both = std::min(made_.size(), before->made_.size());
  for (std::size_t subset = 0; subset < both; ++subset) {
    if (placement_->serving[subset] == before->placement_->serving[subset])
      made_[subset] = before->made_[subset];
  }
}

ResourcePtr SubsetResources::at(std::size_t subset) const {
  std::lock_guard lock(mutex_);
  ResourcePtr& made = made_[subset];
  if (!made) {
    made = make_resource(ResourceType::kEndpoints, cluster_,
                         service_endpoints(cluster_, *placement_->serving[subset], dropped_), {});
  }
  return made;
}

ResourcePtr SubsetResources::of(const Caller& caller) const {
  return at(placement_->subsets->subset_of_caller(caller.key, service_));
}

std::size_t SubsetResources::made() const {
  std::lock_guard lock(mutex_);
  return made_.size() - static_cast<std::size_t>(std::count(made_.begin(), made_.end(), nullptr));
}

std::string SubsetResources::fault() const {
  for (std::size_t subset = 0; subset < count(); ++subset) {
    if (placement_->serving[subset]->empty()) return "subset " + std::to_string(subset) + " has no endpoints";
  }
  return "";
}

ResourcePtr make_subset_resource(const routing::RequestClassRoute& request_class,
                                 const PlacementPtr& placement, const Resource* before) {
  std::string content =
      request_class.name + ' ' + hex(placement->digest) + ' ' + std::to_string(dropped_of(request_class));
  auto made = std::make_shared<Resource>();
  made->name = request_class_cluster_name(request_class.name);
  made->version = hex(XXH3_64bits(content.data(), content.size()));
  made->subsets = std::make_shared<const SubsetResources>(request_class, placement,
                                                          before ? before->subsets.get() : nullptr);
  return made;
}

ResourcePtr resolved(const ResourcePtr& resource, const Caller& caller) {
  return resource && resource->subsets ? resource->subsets->of(caller) : resource;
}

}  // namespace myrtlecroft::xds
