#include "xds/endpoint_messages.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "xds/resources.h"

namespace myrtlecroft::xds {
namespace {

namespace core = envoy::config::core::v3;
namespace endpoint = envoy::config::endpoint::v3;

constexpr std::uint32_t kTenThousand = 10'000;

// Each server is a locality of its own, with its zone as zone and its name as sub-zone. Clients that weight
// localities but not endpoints then weight servers, and their load reports per locality are reports per
// server.
void add_locality(endpoint::ClusterLoadAssignment& to, const routing::NodeRoute& node, std::uint32_t weight,
                  std::uint32_t priority) {
  endpoint::LocalityLbEndpoints& locality = *to.add_endpoints();
  locality.mutable_locality()->set_zone(node.zone);
  locality.mutable_locality()->set_sub_zone(node.name);
  locality.mutable_load_balancing_weight()->set_value(weight);
  locality.set_priority(priority);
  endpoint::LbEndpoint& lb_endpoint = *locality.add_lb_endpoints();
  core::SocketAddress& address = *lb_endpoint.mutable_endpoint()->mutable_address()->mutable_socket_address();
  address.set_address(node.host);
  address.set_port_value(node.port);
  lb_endpoint.set_health_status(endpoint::HEALTHY);
  lb_endpoint.mutable_load_balancing_weight()->set_value(weight);
}

}  // namespace

std::uint32_t drop_share_of(const routing::RequestClassRoute& request_class) {
  return request_class.idempotency == Idempotency::kIdempotent && request_class.admitted < kTenThousand
             ? kTenThousand - request_class.admitted
             : 0;
}

endpoint::ClusterLoadAssignment service_endpoints(const std::string& cluster, const NodeList& nodes,
                                                  std::uint32_t drop_share) {
  endpoint::ClusterLoadAssignment out;
  out.set_cluster_name(cluster);
  // xDS requires priorities to be consecutive, starting at 0.
  std::set<int> priorities;
  for (const NodePtr& node : nodes) priorities.insert(node->priority);
  for (const NodePtr& node : nodes) {
    auto level = std::distance(priorities.begin(), priorities.find(node->priority));
    add_locality(out, *node, std::max(1u, node->weight), static_cast<std::uint32_t>(level));
  }
  if (drop_share > 0) {
    auto& drop = *out.mutable_policy()->add_drop_overloads();
    drop.set_category("fleet-short");
    drop.mutable_drop_percentage()->set_numerator(drop_share);
    drop.mutable_drop_percentage()->set_denominator(envoy::type::v3::FractionalPercent::TEN_THOUSAND);
  }
  return out;
}

endpoint::ClusterLoadAssignment server_endpoints(const routing::NodeRoute& node) {
  endpoint::ClusterLoadAssignment out;
  out.set_cluster_name(server_cluster_name(node.name));
  add_locality(out, node, 1, 0);
  return out;
}

}  // namespace myrtlecroft::xds
