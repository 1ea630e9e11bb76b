// The rows of an admin answer on maintenance: leases, drains, disruption budgets and the release. Called by
// AdminQueries on the loop's thread. No I/O, no state.
#pragma once

#include "control.pb.h"
#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Adds what the fleet has agreed on, and the budgets as this replica measures them.
void add_maintenance_rows(const ReplicatedControl& control, AdminAnswer& answer);

}  // namespace myrtlecroft::control
