#include "xds/cluster_messages.h"

#include <algorithm>
#include <cmath>

#include "xds/resources.h"

namespace myrtlecroft::xds {
namespace {

namespace core = envoy::config::core::v3;
namespace cluster = envoy::config::cluster::v3;

constexpr Nanos kConnectTimeout = kSecond;
// Concurrent retries that each proxy may always have, whatever is in flight.
constexpr std::uint32_t kMinRetries = 2;
// Points on the hash ring of a request class that is balanced by key.
constexpr std::uint64_t kMinRingSize = 1024;
constexpr std::uint64_t kMaxRingSize = 65'536;
constexpr double kInFlightStepFactor = 1.25;

cluster::Cluster make_cluster(const std::string& name, std::uint32_t in_flight, double retry_budget) {
  cluster::Cluster out;
  out.set_name(name);
  out.set_type(cluster::Cluster::EDS);
  core::ConfigSource& source = *out.mutable_eds_cluster_config()->mutable_eds_config();
  source.mutable_ads();
  source.set_resource_api_version(core::V3);
  out.mutable_connect_timeout()->set_seconds(kConnectTimeout / kSecond);
  out.set_lb_policy(cluster::Cluster::ROUND_ROBIN);
  // Panic routing in the proxy is off: the control service has already applied the panic threshold when it
  // decided which servers are in rotation.
  out.mutable_common_lb_config()->mutable_healthy_panic_threshold()->set_value(0);
  out.mutable_common_lb_config()->mutable_locality_weighted_lb_config();
  out.mutable_lrs_server()->mutable_self();
  cluster::CircuitBreakers::Thresholds& thresholds = *out.mutable_circuit_breakers()->add_thresholds();
  if (in_flight > 0) thresholds.mutable_max_requests()->set_value(in_flight);
  thresholds.mutable_retry_budget()->mutable_budget_percent()->set_value(100 * retry_budget);
  thresholds.mutable_retry_budget()->mutable_min_retry_concurrency()->set_value(kMinRetries);
  return out;
}

}  // namespace

std::uint32_t round_up_in_flight(double in_flight) {
  double step = std::pow(kInFlightStepFactor,
                         std::ceil(std::log(std::max(1.0, in_flight)) / std::log(kInFlightStepFactor)));
  return static_cast<std::uint32_t>(std::max(in_flight, std::round(step)));
}

cluster::Cluster request_class_cluster(const routing::RequestClassRoute& request_class,
                                       std::uint32_t in_flight, double retry_budget) {
  cluster::Cluster out =
      make_cluster(request_class_cluster_name(request_class.name), in_flight, retry_budget);
  if (!request_class.key_header.empty()) {
    out.set_lb_policy(cluster::Cluster::RING_HASH);
    out.mutable_ring_hash_lb_config()->set_hash_function(cluster::Cluster::RingHashLbConfig::XX_HASH);
    out.mutable_ring_hash_lb_config()->mutable_minimum_ring_size()->set_value(kMinRingSize);
    out.mutable_ring_hash_lb_config()->mutable_maximum_ring_size()->set_value(kMaxRingSize);
  }
  return out;
}

cluster::Cluster server_cluster(const routing::NodeRoute& node, double retry_budget) {
  return make_cluster(server_cluster_name(node.name), node.in_flight, retry_budget);
}

}  // namespace myrtlecroft::xds
