// Names of states as admin answers have them. Operators' scripts read them, so that they stay as they are
// where the code's own names differ.
#pragma once

#include "agreement/maintenance_state.h"
#include "consensus/raft_node.h"
#include "myrtlecroft/controller.h"

namespace myrtlecroft::control {

// A server's mode: "serving", "stalled", "trial" or "leaving".
const char* name_of(Mode mode);
// Why a server is out for maintenance: "drain", "release" or "way back".
const char* name_of(agreement::MaintenanceReason reason);
// What a replica does in the cluster: "votes", "hears" or "named only".
const char* membership_name(const consensus::Server& server);

}  // namespace myrtlecroft::control
