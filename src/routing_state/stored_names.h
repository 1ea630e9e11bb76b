// The names of states in the saved state, the replicated log and admin answers.
//
// Used by agreement, control and saved_state.cpp. The names are part of formats and must not change; log
// lines have names of their own (routing::name_of). Stateless; any thread.
#pragma once

#include <string_view>

#include "routing/server_registry.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing_state {

// Returns the stored name of a server's state, a null-terminated string with static storage duration.
const char* stored_name(routing::ServerState state);
// Returns the name of the connectivity state in admin answers.
const char* stored_name(routing::ConnectivityState view);
// Returns the stored name of a server's health in a snapshot.
const char* stored_name(routing::Health health);

// Returns the state with that stored name. An unknown name gives kLost, so that the server must report before
// it gets requests.
routing::ServerState server_state_named(std::string_view name);
// Returns the health with that stored name, or kOutOfRotation for an unknown name.
routing::Health health_named(std::string_view name);

}  // namespace myrtlecroft::routing_state
