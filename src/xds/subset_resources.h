// The endpoints of a service with subsets: one resource for each subset, serialised when the first caller
// asks for it, and then shared by all callers of that subset.
//
// All subsets of all services together would be many times the fleet: a control service makes those that its
// own callers use.
#pragma once

#include <mutex>
#include <string>

#include "xds/placement.h"
#include "xds/resources.h"

namespace myrtlecroft::xds {

// May be used from any thread.
class SubsetResources {
 public:
  // What was serialised already, and is the same, is taken over from `before`.
  SubsetResources(const routing::RequestClassRoute& request_class, PlacementPtr placement,
                  const SubsetResources* before);

  std::size_t count() const { return placement_->serving.size(); }
  ResourcePtr at(std::size_t subset) const;
  ResourcePtr of(const Caller& caller) const;
  // How many are serialised.
  std::size_t made() const;
  // As one line; empty where every subset has endpoints.
  std::string fault() const;

 private:
  std::string cluster_;
  std::uint64_t service_;
  std::uint32_t dropped_;
  PlacementPtr placement_;
  mutable std::mutex mutex_;
  mutable std::vector<ResourcePtr> made_;  // null: nobody has asked for it yet
};

// What stands for all of them in a set. Its version tells of a change in any.
ResourcePtr make_subset_resource(const routing::RequestClassRoute& request_class,
                                 const PlacementPtr& placement, const Resource* before);

}  // namespace myrtlecroft::xds
