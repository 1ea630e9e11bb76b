// The names of states as they are stored and sent: in the saved state, in the replicated log, in admin
// answers.
//
// Used by whoever writes or compares such a name (agreement, control, saved_state.cpp). They are part of
// formats and never change; log lines have wording of their own (routing::name_of). No state; any thread.
#pragma once

#include <string_view>

#include "routing/server_registry.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing_state {

// The stored name of a server's state; static storage, zero-terminated.
const char* stored_name(routing::ServerState state);
// The name of the registry's view in admin answers.
const char* stored_name(routing::ConnectivityState view);
// The stored name of a server's health in a snapshot.
const char* stored_name(routing::Health health);

// The state of that name; kLost for an unknown name, so that the server must report before it gets requests.
routing::ServerState server_state_named(std::string_view name);
// The health of that name; kOutOfRotation for an unknown name.
routing::Health health_named(std::string_view name);

}  // namespace myrtlecroft::routing_state
