// Endpoints as xDS has them.
#pragma once

#include <memory>
#include <vector>

#include "endpoint.pb.h"
#include "routing/snapshot.h"

namespace myrtlecroft::xds {

using NodePtr = std::shared_ptr<const routing::NodeRoute>;
using NodeList = std::vector<NodePtr>;

// Of ten thousand: what callers drop of this group by themselves. What may be repeated elsewhere is dropped
// at the cluster; a mutating request is told by its route that it never ran and when to come back.
std::uint32_t dropped_of(const routing::RequestClassRoute& request_class);

envoy::config::endpoint::v3::ClusterLoadAssignment service_endpoints(const std::string& cluster,
                                                                     const NodeList& nodes,
                                                                     std::uint32_t dropped);
// A server's own cluster keeps its endpoint whatever its health: whether anything is sent there is decided by
// the routes, and a cluster that empties first would fail what is on its way.
envoy::config::endpoint::v3::ClusterLoadAssignment node_endpoints(const routing::NodeRoute& node);

}  // namespace myrtlecroft::xds
