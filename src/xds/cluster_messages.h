// Clusters as xDS has them.
#pragma once

#include "cluster.pb.h"
#include "routing/snapshot.h"

namespace myrtlecroft::xds {

// `in_flight`: requests that one proxy may have at the whole service at once; 0 = not known.
envoy::config::cluster::v3::Cluster group_cluster(const routing::RequestClassRoute& request_class,
                                                  std::uint32_t in_flight, double retry_budget);
envoy::config::cluster::v3::Cluster node_cluster(const routing::NodeRoute& node, double retry_budget);

// In coarse steps upward: a server that comes or goes must not have every proxy replace every cluster.
std::uint32_t in_flight_step(double in_flight);

}  // namespace myrtlecroft::xds
