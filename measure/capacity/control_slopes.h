// What the deciding and telling part of one instance costs in process: by servers, services, routes, tenants,
// key shards and callers. No network; the real instance over sockets is measured elsewhere.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

struct ControlOptions {
  int subsetting = 0;       // servers that a caller uses of each service; 0: no subsets in the fleet file
  double max_seconds = 30;  // of one size: one that would take longer, by the size before it, is not run
};

// Adds the slopes to the sheet, and tells on stdout which sizes were left out and why.
void control_slopes(const ControlOptions& options, SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
