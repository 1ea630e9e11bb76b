// Builds xDS Listener, RouteConfiguration and Runtime messages.
#pragma once

#include <set>
#include <string>

#include "listener.pb.h"
#include "route.pb.h"
#include "routing/snapshot.h"
#include "runtime.pb.h"

namespace myrtlecroft::xds {

// Name of the runtime layer, and prefix of its keys for the admitted shares.
extern const std::string kRuntimeName;

struct RouteMessage {
  envoy::config::route::v3::RouteConfiguration routes;
  std::set<std::string> clusters;  // names of the clusters that the routes refer to
};
// Routes of all request classes, named after the fleet's listener.
RouteMessage fleet_routes(const routing::Snapshot& snapshot);
// Routes of one request class, named after it.
RouteMessage service_routes(const routing::Snapshot& snapshot,
                            const routing::RequestClassRoute& request_class);

// A listener that takes its routes, by RDS over the same stream, from the route configuration of the same
// name.
envoy::config::listener::v3::Listener listener_message(const std::string& name);
// Runtime layer with the admitted share of each mutating request class and the quota of each tenant.
envoy::service::runtime::v3::Runtime runtime_message(const routing::Snapshot& snapshot);

}  // namespace myrtlecroft::xds
