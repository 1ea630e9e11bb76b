// Names of states in admin answers. Operators' scripts match them, so they stay unchanged even where the
// code uses other terms.
#pragma once

#include "agreement/maintenance_state.h"
#include "consensus/raft_node.h"
#include "myrtlecroft/controller.h"

namespace myrtlecroft::control {

// A server's mode: "serving", "stalled", "trial" or "leaving".
const char* name_of(Mode mode);
// Why a server has a maintenance lease: "drain", "release" or "way back" (a rollback).
const char* name_of(agreement::MaintenanceReason reason);
// A replica's role in the membership: "votes" (voter), "hears" (standby) or "named only" (neither).
const char* membership_name(const consensus::Server& server);

}  // namespace myrtlecroft::control
