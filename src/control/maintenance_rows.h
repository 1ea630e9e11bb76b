// The rows of an admin answer about maintenance: leases, drains, disruption budgets and the release. Called
// by AdminQueries on the loop's thread. No I/O, no state.
#pragma once

#include "control.pb.h"
#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Adds the replicated state of leases, drains and the release, and the use of the budgets as this replica
// measures it.
void add_maintenance_rows(const ReplicatedControl& control, AdminAnswer& answer);

}  // namespace myrtlecroft::control
