// Listeners, routes and runtime layers as xDS has them.
#pragma once

#include <set>
#include <string>

#include "listener.pb.h"
#include "route.pb.h"
#include "routing/snapshot.h"
#include "runtime.pb.h"

namespace myrtlecroft::xds {

extern const std::string kRuntimeName;

struct RouteMessage {
  envoy::config::route::v3::RouteConfiguration routes;
  std::set<std::string> clusters;  // that it refers to
};
// All groups, under the listener's name.
RouteMessage fleet_routes(const routing::Snapshot& snapshot);
// One group, under its own name.
RouteMessage service_routes(const routing::Snapshot& snapshot,
                            const routing::RequestClassRoute& request_class);

// Its routes have its name.
envoy::config::listener::v3::Listener listener_message(const std::string& name);
envoy::service::runtime::v3::Runtime runtime_message(const routing::Snapshot& snapshot);

}  // namespace myrtlecroft::xds
