#include "xds/endpoint_messages.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "xds/resources.h"

namespace myrtlecroft::xds {
namespace {

namespace core = envoy::config::core::v3;
namespace endpoint = envoy::config::endpoint::v3;

constexpr std::uint32_t kComplete = 10'000;

// Each server is a locality of its own, named by its zone and itself: clients that weigh localities but not
// endpoints then weigh servers, and their load reports by locality tell of servers.
void add_node(endpoint::ClusterLoadAssignment& to, const routing::NodeRoute& node, std::uint32_t weight,
              std::uint32_t priority) {
  endpoint::LocalityLbEndpoints& place = *to.add_endpoints();
  place.mutable_locality()->set_zone(node.zone);
  place.mutable_locality()->set_sub_zone(node.name);
  place.mutable_load_balancing_weight()->set_value(weight);
  place.set_priority(priority);
  endpoint::LbEndpoint& one = *place.add_lb_endpoints();
  core::SocketAddress& address = *one.mutable_endpoint()->mutable_address()->mutable_socket_address();
  address.set_address(node.host);
  address.set_port_value(node.port);
  one.set_health_status(endpoint::HEALTHY);
  one.mutable_load_balancing_weight()->set_value(weight);
}

}  // namespace

std::uint32_t dropped_of(const routing::RequestClassRoute& request_class) {
  return request_class.idempotency == Idempotency::kIdempotent && request_class.admitted < kComplete
             ? kComplete - request_class.admitted
             : 0;
}

endpoint::ClusterLoadAssignment service_endpoints(const std::string& cluster, const NodeList& nodes,
                                                  std::uint32_t dropped) {
  endpoint::ClusterLoadAssignment out;
  out.set_cluster_name(cluster);
  // Priorities must follow each other without a gap.
  std::set<int> priorities;
  for (const NodePtr& node : nodes) priorities.insert(node->priority);
  for (const NodePtr& node : nodes) {
    auto place = std::distance(priorities.begin(), priorities.find(node->priority));
    add_node(out, *node, std::max(1u, node->weight), static_cast<std::uint32_t>(place));
  }
  if (dropped > 0) {
    auto& drop = *out.mutable_policy()->add_drop_overloads();
    drop.set_category("fleet-short");
    drop.mutable_drop_percentage()->set_numerator(dropped);
    drop.mutable_drop_percentage()->set_denominator(envoy::type::v3::FractionalPercent::TEN_THOUSAND);
  }
  return out;
}

endpoint::ClusterLoadAssignment node_endpoints(const routing::NodeRoute& node) {
  endpoint::ClusterLoadAssignment out;
  out.set_cluster_name(cluster_of_node(node.name));
  add_node(out, node, 1, 0);
  return out;
}

}  // namespace myrtlecroft::xds
