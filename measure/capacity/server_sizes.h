// Memory, time on the cores, start and reload of a server by the tenants and the request classes of its
// settings.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

// Medians at the planned number of tenants.
struct PlannedSize {
  double read_ms = 0;  // start at that size less start at the smallest
  double reload_ms = 0;
  double stands_ms = 0;
  double rss_mb = 0;
  double cpu_us_per_request = 0;
};

// Adds the slopes by tenants and by groups to the sheet.
PlannedSize measure_sizes(SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
