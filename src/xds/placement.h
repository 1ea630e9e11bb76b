// Computes which servers serve each request class, and each of its subsets. A table is built from the
// previous one where there is one: unchanged parts are shared by pointer, so that equal pointers mean equal
// endpoints.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "routing/subsets.h"
#include "xds/endpoint_messages.h"

namespace myrtlecroft::xds {

using NodeListPtr = std::shared_ptr<const NodeList>;

// Shared by all request classes with the same server list and the same subset size.
struct Placement {
  std::shared_ptr<const routing::Subsets> subsets;  // null: every caller gets all servers
  std::vector<NodeListPtr> nodes_by_subset;         // by subset; a single entry without subsets
  double in_flight = 0;                             // limit over all healthy servers; 0 = unknown
  std::uint64_t digest = 0;                         // hash of everything that endpoints are made from
};
using PlacementPtr = std::shared_ptr<const Placement>;

// The placements of one snapshot. Its server entries are shared with earlier snapshots where they are
// equal.
class PlacementTable {
 public:
  PlacementTable(const routing::Snapshot& snapshot, const PlacementTable* before);

  // The placement of the request class at this index; null for a keyed class, which is routed to shard
  // owners.
  const PlacementPtr& placement_of(std::size_t request_class) const {
    return placement_by_class_[request_class];
  }
  // True if the previous snapshot has the same servers at the same indices, whatever their health.
  bool same_server_order() const { return same_server_order_; }
  // True if any field of the server differs from the previous snapshot.
  bool server_changed(std::size_t index) const { return server_changed_[index]; }

 private:
  using ServerIndices = fleet::ServerList::ServerIndices;
  using Key = std::pair<const ServerIndices*, std::uint32_t>;  // server list and subset size

  void share_nodes(const routing::Snapshot& snapshot, const PlacementTable& before);
  PlacementPtr make_placement(const routing::Snapshot& snapshot,
                              const routing::RequestClassRoute& request_class,
                              const PlacementTable* before) const;
  bool any_changed(const ServerIndices& servers) const;
  std::shared_ptr<const routing::Subsets> subsets_of(const routing::Snapshot& snapshot,
                                                     const ServerIndices& servers, std::uint32_t size,
                                                     const Placement* old) const;
  NodeList in_service(const ServerIndices& servers) const;
  NodeList nodes_at(const ServerIndices& servers) const;
  NodeListPtr nodes_without_subsets(const ServerIndices& servers, bool has_server_list,
                                    const Placement* old) const;
  std::vector<NodeListPtr> make_nodes_by_subset(const routing::Snapshot& snapshot,
                                                const ServerIndices& servers, const routing::Subsets* subsets,
                                                bool has_server_list, const Placement* old) const;
  bool is_reusable(const routing::Subsets& subsets, std::size_t subset) const;
  double in_flight_of(const ServerIndices& servers) const;
  std::uint64_t digest_of(const ServerIndices& servers, const routing::Subsets* subsets) const;

  std::vector<NodePtr> nodes_;
  std::vector<std::uint64_t> fingerprints_;  // hashes of the fields that a server's endpoints are made from
  std::vector<std::uint32_t> in_flight_;     // per server; not part of its endpoints
  std::vector<bool> server_changed_;
  bool same_server_order_ = false;
  ServerIndices all_indices_;
  std::map<Key, PlacementPtr> placements_;
  std::vector<PlacementPtr> placement_by_class_;
  std::vector<fleet::ServerList> server_lists_;  // keep the pointers in the keys valid
};

}  // namespace myrtlecroft::xds
