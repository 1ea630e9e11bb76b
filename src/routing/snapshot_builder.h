// Builds a snapshot from the state of the servers, the shards and admission, and detects whether a new one
// would differ from the published one.
//
// Called by Router in each step. Pure functions; any thread.
#pragma once

#include <vector>

#include "fleet/fleet.h"
#include "routing/server_registry.h"
#include "routing/shards.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// The decisions that a snapshot is built from.
struct SnapshotInputs {
  const fleet::Fleet& fleet;
  const ServerRegistry& registry;
  const Shards& shards;
  const std::vector<std::uint32_t>& admitted;  // in ten-thousandths, by request class; may be empty
};

// `previous`: the published snapshot, or nullptr. Values that differ little from it are left unchanged,
// because each change is sent to every proxy.
Snapshot build_snapshot(const SnapshotInputs& inputs, const Snapshot* previous);

// Returns whether build_snapshot() with `published` as the previous snapshot would produce an equal one.
// Cheaper than building it, as most steps change nothing. Requires a snapshot that was built from the same
// fleet file and the same `admitted`.
bool is_current(const Snapshot& published, const SnapshotInputs& inputs);

}  // namespace myrtlecroft::routing
