// What a control service that decides alone must know again after a restart, as the bytes of one store record
// (docs/design/control-xds.md).
//
// Called by control, before a snapshot is served and at start; agreement uses the conversion of one server.
// No state; any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"
#include "routing_state.pb.h"
#include "routing_state/snapshot_codec.h"

namespace myrtlecroft::routing_state {

struct SavedState {
  routing::PersistedState routing;
  std::vector<std::string> proxies;  // ids of those that may still send by a snapshot they were served
};

PersistedNode to_proto(const routing::PersistedState::Node& node);
routing::PersistedState::Node from_proto(const PersistedNode& message);

std::string serialize(const SavedState& state);
// Nothing where the bytes are not a state that this version can read.
std::optional<SavedState> parse_saved_state(const std::string& bytes);

}  // namespace myrtlecroft::routing_state
