// Conversion between snapshots and protobuf messages for the saved state, the replicated log and admin
// answers.
//
// Called by saved_state.cpp, agreement and control. Stateless; any thread.
#pragma once

#include <optional>

#include "routing/snapshot.h"
#include "routing_state.pb.h"

namespace myrtlecroft::routing_state {

// Server lists that are shared by pointer are written once.
Snapshot to_proto(const routing::Snapshot& snapshot);
// Returns std::nullopt if a number in the message is not a valid enumerator, server list or count of shard
// digits. routing::find_error() validates the rest.
std::optional<routing::Snapshot> from_proto(const Snapshot& message);

}  // namespace myrtlecroft::routing_state
