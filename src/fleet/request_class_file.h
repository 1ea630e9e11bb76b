// Reads the request classes of the fleet file: the list `groups`, and `subsetting`.
//
// Called by fleet_file.cpp only.
#pragma once

#include "fleet/file_fields.h"

namespace myrtlecroft::fleet {

// Sets `out.request_classes` and `out.service_listeners`; `out.listener` must be set before. Throws
// settings::DocumentError.
void read_request_classes(settings::Section& root, const NodeIndex& nodes, Fleet& out);

}  // namespace myrtlecroft::fleet
