// The state that an unreplicated control service needs after a restart, encoded as one store record
// (docs/design/control-xds.md).
//
// Called by control before it serves a snapshot and at start; agreement uses the conversion of a single
// server. Stateless; any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"
#include "routing_state.pb.h"
#include "routing_state/snapshot_codec.h"

namespace myrtlecroft::routing_state {

// The content of the store record.
struct SavedState {
  routing::PersistedState routing;
  std::vector<std::string> proxies;  // ids of proxies that may still route by a snapshot they were served
};

// Conversion of one server. An unknown state name in the message becomes kLost.
PersistedNode to_proto(const routing::PersistedState::Node& node);
routing::PersistedState::Node from_proto(const PersistedNode& message);

// Encodes the state as the bytes of a store record.
std::string serialize(const SavedState& state);
// Decodes the result of serialize(). Returns std::nullopt if this version can't read the bytes.
std::optional<SavedState> parse_saved_state(const std::string& bytes);

}  // namespace myrtlecroft::routing_state
