// Reads the request classes of the fleet file: the list `groups`, and `subsetting`.
//
// Called by fleet_file.cpp only.
#pragma once

#include "fleet/file_fields.h"

namespace myrtlecroft::fleet {

// Sets request_classes and service_listeners of a fleet whose listener is known. Throws
// settings::DocumentError.
void read_request_classes(settings::Section& root, const NodeIndex& nodes, Fleet& out);

}  // namespace myrtlecroft::fleet
