// The state machine of one server: which condition leads from which state to which.
//
// Called by ServerRegistry for each server in each step; pure functions, on the thread of the registry.
#pragma once

#include <optional>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

// A flap counts up to this; each doubles the time that the server stays out.
constexpr int kMaxFlaps = 4;

// What the conditions need besides the server itself.
struct StateContext {
  const fleet::Bounds& bounds;
  Nanos now = 0;
  Nanos reports_due_since = 0;  // a server that has sent no report since then counts as silent from then on
  Nanos longest_latency_objective = 0;
};

// Where a server goes, and why, in the wording of log lines.
struct StateChange {
  ServerState next;
  const char* reason;
};

// The first change whose condition holds; nothing where the server stays. `allow_lost`: false while this
// control service is partitioned itself, so that missing reports put nobody out.
std::optional<StateChange> next_state(const ServerStatus& server, const StateContext& context,
                                      bool allow_lost);

// No report for too long; sooner where its report connection is down.
bool reports_overdue(const ServerStatus& server, const StateContext& context);
// It has reported, and not too long ago.
bool is_reporting(const ServerStatus& server, const StateContext& context);

}  // namespace myrtlecroft::routing
