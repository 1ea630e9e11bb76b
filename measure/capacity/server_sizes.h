// Measures memory, CPU time, start time and reload time of a server by the tenants
// and the request classes of its settings.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

// Medians at the planned number of tenants.
struct PlannedSizeCost {
  double read_ms = 0;  // start time at the planned number of tenants minus that at the smallest one
  double reload_ms = 0;
  double reload_gap_ms = 0;
  double rss_mb = 0;
  double cpu_us_per_request = 0;
};

// Adds the slopes by tenants and by request classes to the report. Throws std::runtime_error when a server
// doesn't answer or a reload doesn't complete.
PlannedSizeCost measure_sizes(SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
