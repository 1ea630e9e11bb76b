// Conversion between the saved state and its protobuf messages.
#include "routing_state/saved_state.h"

#include "routing_state/stored_names.h"

namespace myrtlecroft::routing_state {

PersistedNode to_proto(const routing::PersistedState::Node& node) {
  PersistedNode out;
  out.set_name(node.name);
  out.set_state(stored_name(node.state));
  out.set_life(node.incarnation);
  out.set_weight(node.weight);
  out.set_flaps(node.flaps);
  out.set_version(node.version);
  return out;
}

routing::PersistedState::Node from_proto(const PersistedNode& message) {
  return {.name = message.name(),
          .state = server_state_named(message.state()),
          .incarnation = message.life(),
          .weight = message.weight(),
          .flaps = message.flaps(),
          .version = message.version()};
}

std::string serialize(const SavedState& state) {
  StateFile file;
  for (const routing::PersistedState::Node& node : state.routing.nodes) *file.add_nodes() = to_proto(node);
  for (const routing::PersistedState::Owner& owner : state.routing.shards) {
    PersistedShard& to = *file.add_shards();
    to.set_node(owner.node);
    to.set_life(owner.incarnation);
    to.set_open(owner.open);
  }
  *file.mutable_snapshot() = to_proto(state.routing.snapshot);
  for (const std::string& proxy : state.proxies) file.add_proxies(proxy);
  return file.SerializeAsString();
}

std::optional<SavedState> parse_saved_state(const std::string& bytes) {
  StateFile file;
  if (!file.ParseFromString(bytes)) return std::nullopt;
  std::optional<routing::Snapshot> snapshot = from_proto(file.snapshot());
  if (!snapshot) return std::nullopt;
  SavedState out;
  out.routing.snapshot = std::move(*snapshot);
  for (const PersistedNode& node : file.nodes()) out.routing.nodes.push_back(from_proto(node));
  for (const PersistedShard& shard : file.shards()) {
    out.routing.shards.push_back({.node = shard.node(), .incarnation = shard.life(), .open = shard.open()});
  }
  out.proxies.assign(file.proxies().begin(), file.proxies().end());
  return out;
}

}  // namespace myrtlecroft::routing_state
