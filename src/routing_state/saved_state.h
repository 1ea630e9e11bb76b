// The last good state of a control service that decides alone, as bytes (docs/design/control-xds.md).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"
#include "routing_state.pb.h"

namespace myrtlecroft::routing_state {

struct SavedState {
  routing::PersistedState memory;
  std::vector<std::string> proxies;  // that may still send by what they were served
};

Snapshot to_proto(const routing::Snapshot& snapshot);
// False where a number names nothing.
bool from_proto(const Snapshot& in, routing::Snapshot& out);
NodeMemory to_proto(const routing::PersistedState::Node& node);
routing::PersistedState::Node from_proto(const NodeMemory& in);

// As a record of the store, and back. Nothing where the bytes make no sense to this version.
std::string packed(const SavedState& state);
std::optional<SavedState> unpacked(const std::string& bytes);

}  // namespace myrtlecroft::routing_state
