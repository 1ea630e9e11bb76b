// Builds xDS ClusterLoadAssignment messages.
#pragma once

#include <memory>
#include <vector>

#include "endpoint.pb.h"
#include "routing/snapshot.h"

namespace myrtlecroft::xds {

using NodePtr = std::shared_ptr<const routing::NodeRoute>;
using NodeList = std::vector<NodePtr>;

// The share of requests of this class, in ten-thousandths, that callers drop themselves. Idempotent
// requests are dropped at the cluster. Mutating requests are rejected by their route instead, with an
// answer that says that the request never ran and when to retry.
std::uint32_t drop_share_of(const routing::RequestClassRoute& request_class);

// Endpoints of the cluster of a request class. `drop_share`: see drop_share_of().
envoy::config::endpoint::v3::ClusterLoadAssignment service_endpoints(const std::string& cluster,
                                                                     const NodeList& nodes,
                                                                     std::uint32_t drop_share);
// A server's own cluster keeps its endpoint whatever the server's health. The routes decide whether
// requests are sent to it, and removing the endpoint before the routes change would fail requests in
// flight.
envoy::config::endpoint::v3::ClusterLoadAssignment server_endpoints(const routing::NodeRoute& node);

}  // namespace myrtlecroft::xds
