// Reads the fleet file (docs/control.md).
//
// Called by control at start and at each reload, on its loop's thread.
#pragma once

#include <string>

#include "fleet/fleet.h"

namespace myrtlecroft::fleet {

// Reads and validates the fleet file at `path`. Throws settings::DocumentError, which names the file, line
// and field.
Fleet read_fleet(const std::string& path);

}  // namespace myrtlecroft::fleet
