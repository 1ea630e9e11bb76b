// Conversion between snapshots and their protobuf messages.
#include "routing_state/snapshot_codec.h"

#include <map>
#include <memory>
#include <vector>

#include "routing_state/stored_names.h"

namespace myrtlecroft::routing_state {
namespace {

using ServerIndices = fleet::ServerList::ServerIndices;

// Hexadecimal digits of a key; the fleet file has the same limits.
constexpr int kMinShardDigits = 1;
constexpr int kMaxShardDigits = 3;

std::optional<routing::RetryPolicy> retry_policy_from(const RetryPolicy& message) {
  routing::RetryPolicy out;
  for (std::uint32_t on : message.on()) {
    if (on > static_cast<std::uint32_t>(routing::RetryOn::kAttemptTimeout)) return std::nullopt;
    out.on.push_back(static_cast<routing::RetryOn>(on));
  }
  out.retries = message.retries();
  out.same_node = message.same_node();
  out.per_attempt_timeout = message.per_try_ns();
  out.backoff_min = message.wait_least_ns();
  out.backoff_max = message.wait_most_ns();
  return out;
}

// `lists`: the server lists of the message, after one that stands for all servers.
std::optional<routing::RequestClassRoute> request_class_from(const RequestClassRoute& message,
                                                             const std::vector<fleet::ServerList>& lists) {
  if (message.servers() >= lists.size()) return std::nullopt;
  if (message.effect() > static_cast<std::uint32_t>(Idempotency::kNone)) return std::nullopt;
  std::optional<routing::RetryPolicy> retry_policy = retry_policy_from(message.repeats());
  if (!retry_policy) return std::nullopt;
  return routing::RequestClassRoute{.name = message.name(),
                                    .path = message.path(),
                                    .idempotency = static_cast<Idempotency>(message.effect()),
                                    .key_header = message.key_header(),
                                    .timeout = message.timeout_ns(),
                                    .retry_policy = std::move(*retry_policy),
                                    .admitted = message.admitted(),
                                    .retry_after = message.stay_away_ns(),
                                    .servers = lists[message.servers()],
                                    .subset_size = message.subset_size()};
}

void write(const routing::NodeRoute& node, NodeRoute& to) {
  to.set_name(node.name);
  to.set_zone(node.zone);
  to.set_host(node.host);
  to.set_port(node.port);
  to.set_priority(node.priority);
  to.set_health(stored_name(node.health));
  to.set_weight(node.weight);
  to.set_in_flight(node.in_flight);
}

void write(const routing::RetryPolicy& policy, RetryPolicy& to) {
  for (routing::RetryOn on : policy.on) to.add_on(static_cast<std::uint32_t>(on));
  to.set_retries(policy.retries);
  to.set_same_node(policy.same_node);
  to.set_per_try_ns(policy.per_attempt_timeout);
  to.set_wait_least_ns(policy.backoff_min);
  to.set_wait_most_ns(policy.backoff_max);
}

void write(const routing::RequestClassRoute& request_class, RequestClassRoute& to) {
  to.set_name(request_class.name);
  to.set_path(request_class.path);
  to.set_effect(static_cast<std::uint32_t>(request_class.idempotency));
  to.set_key_header(request_class.key_header);
  to.set_timeout_ns(request_class.timeout);
  write(request_class.retry_policy, *to.mutable_repeats());
  to.set_admitted(request_class.admitted);
  to.set_stay_away_ns(request_class.retry_after);
  to.set_subset_size(request_class.subset_size);
}

// Adds each distinct server list once. Returns the number of each list: its position in the message, counted
// from 1.
std::map<const ServerIndices*, std::uint32_t> write_server_lists(const routing::Snapshot& snapshot,
                                                                 Snapshot& to) {
  std::map<const ServerIndices*, std::uint32_t> numbers;
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    const auto& indices = request_class.servers.places;
    if (!indices || numbers.contains(indices.get())) continue;
    to.add_server_lists()->mutable_places()->Add(indices->begin(), indices->end());
    numbers[indices.get()] = static_cast<std::uint32_t>(to.server_lists_size());
  }
  return numbers;
}

}  // namespace

std::optional<routing::Snapshot> from_proto(const Snapshot& message) {
  routing::Snapshot out;
  out.listener = message.listener();
  out.shard_digits = message.shard_digits();
  if (out.shard_digits < kMinShardDigits || out.shard_digits > kMaxShardDigits) return std::nullopt;
  out.retry_budget = message.retry_budget();
  out.expected_proxies = message.expected_proxies();
  out.closed_retry_after = message.closed_for_ns();
  for (const NodeRoute& node : message.nodes()) {
    out.nodes.push_back({node.name(), node.zone(), node.host(), static_cast<std::uint16_t>(node.port()),
                         node.priority(), health_named(node.health()), node.weight(), node.in_flight()});
  }
  out.service_listeners = message.service_listeners();
  std::vector<fleet::ServerList> lists(1);  // the first one stands for all servers
  for (const ServerList& list : message.server_lists()) {
    lists.push_back({std::make_shared<const ServerIndices>(list.places().begin(), list.places().end())});
  }
  for (const RequestClassRoute& group : message.groups()) {
    std::optional<routing::RequestClassRoute> request_class = request_class_from(group, lists);
    if (!request_class) return std::nullopt;
    out.request_classes.push_back(std::move(*request_class));
  }
  for (const TenantQuota& tenant : message.customers()) {
    out.tenants.push_back({.name = tenant.name(), .quota = tenant.share()});
  }
  out.shards.assign(message.shards().begin(), message.shards().end());
  return out;
}

Snapshot to_proto(const routing::Snapshot& snapshot) {
  Snapshot out;
  out.set_listener(snapshot.listener);
  out.set_shard_digits(snapshot.shard_digits);
  out.set_retry_budget(snapshot.retry_budget);
  out.set_expected_proxies(snapshot.expected_proxies);
  out.set_closed_for_ns(snapshot.closed_retry_after);
  for (const routing::NodeRoute& node : snapshot.nodes) write(node, *out.add_nodes());
  out.set_service_listeners(snapshot.service_listeners);
  std::map<const ServerIndices*, std::uint32_t> lists = write_server_lists(snapshot, out);
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    RequestClassRoute& to = *out.add_groups();
    write(request_class, to);
    if (!request_class.servers.all()) to.set_servers(lists.at(request_class.servers.places.get()));
  }
  for (const routing::TenantQuota& tenant : snapshot.tenants) {
    TenantQuota& to = *out.add_customers();
    to.set_name(tenant.name);
    to.set_share(tenant.quota);
  }
  for (int owner : snapshot.shards) out.add_shards(owner);
  return out;
}

}  // namespace myrtlecroft::routing_state
