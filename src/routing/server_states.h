// The state machine of one server: its transitions and their conditions.
//
// Called by ServerRegistry for each server in each step. Pure functions on the registry's thread.
#pragma once

#include <optional>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

// Highest count of flaps; each flap doubles the time that the server stays out of rotation.
constexpr int kMaxFlaps = 4;

// Input of the conditions besides the server itself.
struct StateContext {
  const fleet::Bounds& bounds;
  Nanos now = 0;
  Nanos reports_due_since = 0;          // the silence of a server without a report counts from this time
  Nanos longest_latency_objective = 0;  // of all request classes
};

// A transition to another state, with the reason for the log.
struct StateChange {
  ServerState next;
  const char* reason;
};

// Returns the first transition whose condition holds, or std::nullopt if the server stays in its state.
// `allow_lost`: false while this control service itself is partitioned, so that missing reports take no
// server out of rotation.
std::optional<StateChange> next_state(const ServerStatus& server, const StateContext& context,
                                      bool allow_lost);

// Whether the server has sent no report for too long; the limit is shorter if its report connection is down.
bool reports_overdue(const ServerStatus& server, const StateContext& context);
// Whether the server has reported and its next report is not overdue.
bool is_reporting(const ServerStatus& server, const StateContext& context);

}  // namespace myrtlecroft::routing
