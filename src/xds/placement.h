// Which servers serve a service, and which of them each of its subsets. Made from the placement before where
// one is known: what did not change is taken over by pointer, so that equal pointers mean equal endpoints.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "routing/subsets.h"
#include "xds/endpoint_messages.h"

namespace myrtlecroft::xds {

using NodeListPtr = std::shared_ptr<const NodeList>;

// Of all services that run on the same servers with the same size of subsets.
struct Placement {
  std::shared_ptr<const routing::Subsets> subsets;  // null: every caller is told of all servers
  std::vector<NodeListPtr> serving;                 // of each subset; one where there are none
  double in_flight = 0;                             // over all servers in service; 0 = not known
  std::uint64_t digest = 0;                         // of all that endpoints are made from
};
using PlacementPtr = std::shared_ptr<const Placement>;

// The placements of one snapshot, and its servers as they are shared with the snapshots before.
class PlacementTable {
 public:
  PlacementTable(const routing::Snapshot& snapshot, const PlacementTable* before);

  const PlacementPtr& of_group(std::size_t request_class) const {
    return of_group_[request_class];
  }  // null: it has owners
  // The same servers at the same places as in the snapshot before, whatever their health.
  bool same_places() const { return same_places_; }
  // A server differs in anything from the snapshot before.
  bool touched(std::size_t place) const { return touched_[place]; }

 private:
  using ServerIndices = fleet::ServerList::ServerIndices;
  using Key = std::pair<const ServerIndices*, std::uint32_t>;  // the list of servers, and the size of subsets

  void share_nodes(const routing::Snapshot& snapshot, const PlacementTable& before);
  PlacementPtr place(const routing::Snapshot& snapshot, const routing::RequestClassRoute& request_class,
                     const PlacementTable* before) const;
  bool any_touched(const ServerIndices& servers) const;
  std::shared_ptr<const routing::Subsets> subsets_of(const routing::Snapshot& snapshot,
                                                     const ServerIndices& servers, std::uint32_t size,
                                                     const Placement* old) const;
  NodeList in_service(const ServerIndices& servers) const;
  NodeList as_they_are(const ServerIndices& servers) const;
  NodeListPtr serving_all(const ServerIndices& servers, bool named, const Placement* old) const;
  std::vector<NodeListPtr> serving_of(const routing::Snapshot& snapshot, const ServerIndices& servers,
                                      const routing::Subsets* subsets, bool named,
                                      const Placement* old) const;
  bool may_be_taken_over(const routing::Subsets& subsets, std::size_t subset) const;
  double in_flight_of(const ServerIndices& servers) const;
  std::uint64_t digest_of(const ServerIndices& servers, const routing::Subsets* subsets) const;

  std::vector<NodePtr> nodes_;
  std::vector<std::uint64_t> fingerprints_;  // of all that a server's endpoints are made from
  std::vector<std::uint32_t> in_flight_;     // of servers: no part of their endpoints
  std::vector<bool> touched_;
  bool same_places_ = false;
  ServerIndices all_;
  std::map<Key, PlacementPtr> placements_;
  std::vector<PlacementPtr> of_group_;
  std::vector<fleet::ServerList> lists_;  // keeps the keys alive
};

}  // namespace myrtlecroft::xds
