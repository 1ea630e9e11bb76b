// The endpoints of a service with subsets: one resource per subset, serialised when the first caller asks
// for it and then shared by all callers of that subset.
//
// All subsets of all services together would be many times the size of the fleet, so each replica
// serialises only those that its own callers use.
#pragma once

#include <mutex>
#include <string>

#include "xds/placement.h"
#include "xds/resources.h"

namespace myrtlecroft::xds {

// Safe for use by several threads.
class SubsetResources {
 public:
  // Takes the serialised resources that are still equal from `before` (may be null).
  SubsetResources(const routing::RequestClassRoute& request_class, PlacementPtr placement,
                  const SubsetResources* before);

  std::size_t count() const { return placement_->nodes_by_subset.size(); }
  // The endpoints of one subset; serialises them on first use.
  ResourcePtr at(std::size_t subset) const;
  ResourcePtr for_caller(const Caller& caller) const;
  // The number of subsets serialised so far.
  std::size_t serialised_count() const;
  // Describes in one line a subset without endpoints; empty if there is none.
  std::string find_fault() const;

 private:
  std::string cluster_;
  std::uint64_t service_key_;
  std::uint32_t drop_share_;
  PlacementPtr placement_;
  mutable std::mutex mutex_;
  mutable std::vector<ResourcePtr> serialised_;  // null: not requested yet
};

// Makes the resource that represents all subsets in a set. Its version changes if any subset changes.
ResourcePtr make_subsets_resource(const routing::RequestClassRoute& request_class,
                                  const PlacementPtr& placement, const Resource* before);

}  // namespace myrtlecroft::xds
