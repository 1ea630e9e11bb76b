// Snapshots as protocol messages and back: for the saved state, the replicated log and admin answers.
//
// Called by saved_state.cpp, agreement and control. No state; any thread.
#pragma once

#include <optional>

#include "routing/snapshot.h"
#include "routing_state.pb.h"

namespace myrtlecroft::routing_state {

// Equal server lists that are shared by pointer are written once.
Snapshot to_proto(const routing::Snapshot& snapshot);
// Nothing where a number in the message names no enumerator, no server list or no possible shard count.
// routing::find_error() checks the rest.
std::optional<routing::Snapshot> from_proto(const Snapshot& message);

}  // namespace myrtlecroft::routing_state
