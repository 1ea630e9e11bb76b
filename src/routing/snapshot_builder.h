// Makes a snapshot from the state of the servers, the shards and admission, and tells whether it would
// differ.
//
// Called by Router in each step. Pure functions; any thread.
#pragma once

#include <vector>

#include "fleet/fleet.h"
#include "routing/server_registry.h"
#include "routing/shards.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

struct SnapshotInputs {
  const fleet::Fleet& fleet;
  const ServerRegistry& registry;
  const Shards& shards;
  const std::vector<std::uint32_t>& admitted;  // of ten thousand, by request class; may be empty
};

// `before`: what is published, or nullptr. A figure that differs from it by little stays as it was: each
// change is sent to every proxy.
Snapshot build_snapshot(const SnapshotInputs& inputs, const Snapshot* before);

// Whether build_snapshot() over `published` would make the same again. Cheaper than making it, as most steps
// change nothing. Only for one that was built from the same fleet file and the same `admitted`.
bool is_current(const Snapshot& published, const SnapshotInputs& inputs);

}  // namespace myrtlecroft::routing
