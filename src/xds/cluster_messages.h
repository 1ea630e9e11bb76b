// Builds xDS Cluster messages.
#pragma once

#include "cluster.pb.h"
#include "routing/snapshot.h"

namespace myrtlecroft::xds {

// Cluster of all servers that serve a request class. `in_flight`: limit on the requests that one proxy may
// have in flight to the whole cluster; 0 = no limit known. `retry_budget`: retries as a share of the
// requests in flight.
envoy::config::cluster::v3::Cluster request_class_cluster(const routing::RequestClassRoute& request_class,
                                                          std::uint32_t in_flight, double retry_budget);
// Cluster of one server, for requests that are routed to the owner of their shard.
envoy::config::cluster::v3::Cluster server_cluster(const routing::NodeRoute& node, double retry_budget);

// Rounds up to coarse steps, so that a server which joins or leaves doesn't make every proxy replace every
// cluster.
std::uint32_t round_up_in_flight(double in_flight);

}  // namespace myrtlecroft::xds
