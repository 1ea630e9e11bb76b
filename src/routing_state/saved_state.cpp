#include "routing_state/saved_state.h"

#include <array>
#include <map>

namespace myrtlecroft::routing_state {
namespace {

constexpr std::array<routing::ServerState, routing::kStates> kStates = {routing::ServerState::kAssumedHealthy,
                                                                        routing::ServerState::kSlowStart,
                                                                        routing::ServerState::kServing,
                                                                        routing::ServerState::kDraining,
                                                                        routing::ServerState::kUnhealthy,
                                                                        routing::ServerState::kUnresponsive,
                                                                        routing::ServerState::kLost};

// Silent where the name is none.
routing::ServerState state_named(const std::string& name) {
  for (routing::ServerState state : kStates) {
    if (name == routing::name_of(state)) return state;
  }
  return routing::ServerState::kLost;
}

routing::Health health_named(const std::string& name) {
  for (routing::Health health : {routing::Health::kHealthy, routing::Health::kDraining}) {
    if (name == routing::name_of(health)) return health;
  }
  return routing::Health::kOut;
}

}  // namespace

// What can't be told from a sound snapshot by its own check is refused here: numbers that name nothing.
bool from_proto(const Snapshot& in, routing::Snapshot& out) {
  out.listener = in.listener();
  out.shard_digits = in.shard_digits();
  if (out.shard_digits < 1 || out.shard_digits > 3) return false;
  out.retry_budget = in.retry_budget();
  out.expected_proxies = in.expected_proxies();
  out.closed_for = in.closed_for_ns();
  for (const NodeRoute& node : in.nodes()) {
    out.nodes.push_back({node.name(), node.zone(), node.host(), static_cast<std::uint16_t>(node.port()),
                         node.priority(), health_named(node.health()), node.weight(), node.in_flight()});
  }
  out.service_listeners = in.service_listeners();
  std::vector<fleet::ServerList> lists(1);  // the first: all servers
  for (const ServerList& list : in.server_lists()) {
    lists.push_back(
        {std::make_shared<const fleet::ServerList::Places>(list.places().begin(), list.places().end())});
  }
  for (const RequestClassRoute& request_class : in.groups()) {
    if (request_class.servers() >= lists.size()) return false;
    if (request_class.effect() > static_cast<std::uint32_t>(Idempotency::kNone)) return false;
    routing::RequestClassRoute route{.name = request_class.name(),
                                     .path = request_class.path(),
                                     .idempotency = static_cast<Idempotency>(request_class.effect()),
                                     .key_header = request_class.key_header(),
                                     .timeout = request_class.timeout_ns(),
                                     .retry_policy = {},
                                     .admitted = request_class.admitted(),
                                     .retry_after = request_class.stay_away_ns(),
                                     .servers = lists[request_class.servers()],
                                     .subset_size = request_class.subset_size()};
    const RetryPolicy& rule = request_class.repeats();
    for (std::uint32_t on : rule.on()) {
      if (on > static_cast<std::uint32_t>(routing::RetryOn::kLate)) return false;
      route.retry_policy.on.push_back(static_cast<routing::RetryOn>(on));
    }
    route.retry_policy.retries = rule.retries();
    route.retry_policy.same_node = rule.same_node();
    route.retry_policy.per_try = rule.per_try_ns();
    route.retry_policy.wait_min = rule.wait_least_ns();
    route.retry_policy.wait_max = rule.wait_most_ns();
    out.request_classes.push_back(std::move(route));
  }
  for (const TenantQuota& tenant : in.customers()) out.tenants.push_back({tenant.name(), tenant.share()});
  out.shards.assign(in.shards().begin(), in.shards().end());
  return true;
}

NodeMemory to_proto(const routing::PersistedState::Node& node) {
  NodeMemory out;
  out.set_name(node.name);
  out.set_state(routing::name_of(node.state));
  out.set_life(node.incarnation);
  out.set_weight(node.weight);
  out.set_flaps(node.flaps);
  out.set_version(node.version);
  return out;
}

routing::PersistedState::Node from_proto(const NodeMemory& in) {
  return {in.name(), state_named(in.state()), in.life(), in.weight(), in.flaps(), in.version()};
}

Snapshot to_proto(const routing::Snapshot& snapshot) {
  Snapshot out;
  out.set_listener(snapshot.listener);
  out.set_shard_digits(snapshot.shard_digits);
  out.set_retry_budget(snapshot.retry_budget);
  out.set_expected_proxies(snapshot.expected_proxies);
  out.set_closed_for_ns(snapshot.closed_for);
  for (const routing::NodeRoute& node : snapshot.nodes) {
    NodeRoute& to = *out.add_nodes();
    to.set_name(node.name);
    to.set_zone(node.zone);
    to.set_host(node.host);
    to.set_port(node.port);
    to.set_priority(node.priority);
    to.set_health(routing::name_of(node.health));
    to.set_weight(node.weight);
    to.set_in_flight(node.in_flight);
  }
  out.set_service_listeners(snapshot.service_listeners);
  std::map<const fleet::ServerList::Places*, std::uint32_t> lists;
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    const auto& places = request_class.servers.places;
    if (places && lists.emplace(places.get(), out.server_lists_size() + 1).second) {
      out.add_server_lists()->mutable_places()->Add(places->begin(), places->end());
    }
  }
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    RequestClassRoute& to = *out.add_groups();
    to.set_name(request_class.name);
    to.set_path(request_class.path);
    to.set_effect(static_cast<std::uint32_t>(request_class.idempotency));
    to.set_key_header(request_class.key_header);
    to.set_timeout_ns(request_class.timeout);
    for (routing::RetryOn on : request_class.retry_policy.on)
      to.mutable_repeats()->add_on(static_cast<std::uint32_t>(on));
    to.mutable_repeats()->set_retries(request_class.retry_policy.retries);
    to.mutable_repeats()->set_same_node(request_class.retry_policy.same_node);
    to.mutable_repeats()->set_per_try_ns(request_class.retry_policy.per_try);
    to.mutable_repeats()->set_wait_least_ns(request_class.retry_policy.wait_min);
    to.mutable_repeats()->set_wait_most_ns(request_class.retry_policy.wait_max);
    to.set_admitted(request_class.admitted);
    to.set_stay_away_ns(request_class.retry_after);
    if (!request_class.servers.all()) to.set_servers(lists.at(request_class.servers.places.get()));
    to.set_subset_size(request_class.subset_size);
  }
  for (const routing::TenantQuota& tenant : snapshot.tenants) {
    out.add_customers()->set_name(tenant.name);
    out.mutable_customers()->rbegin()->set_share(tenant.share);
  }
  for (int owner : snapshot.shards) out.add_shards(owner);
  return out;
}

std::string packed(const SavedState& state) {
  StateFile file;
  for (const routing::PersistedState::Node& node : state.memory.nodes) *file.add_nodes() = to_proto(node);
  for (const routing::PersistedState::Owner& owner : state.memory.shards) {
    ShardMemory& to = *file.add_shards();
    to.set_node(owner.node);
    to.set_life(owner.incarnation);
    to.set_open(owner.open);
  }
  *file.mutable_snapshot() = to_proto(state.memory.snapshot);
  for (const std::string& proxy : state.proxies) file.add_proxies(proxy);
  return file.SerializeAsString();
}

std::optional<SavedState> unpacked(const std::string& bytes) {
  StateFile file;
  SavedState out;
  if (!file.ParseFromString(bytes) || !from_proto(file.snapshot(), out.memory.snapshot)) return std::nullopt;
  for (const NodeMemory& node : file.nodes()) out.memory.nodes.push_back(from_proto(node));
  for (const ShardMemory& shard : file.shards()) {
    out.memory.shards.push_back({shard.node(), shard.life(), shard.open()});
  }
  out.proxies.assign(file.proxies().begin(), file.proxies().end());
  return out;
}

}  // namespace myrtlecroft::routing_state
