// Measures the cost of decisions, publications and xDS sessions of one control instance in process, by
// servers, services, routes, tenants, key shards and callers. No network; measure_capacity_real.cpp measures
// a real instance over sockets.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

struct ControlOptions {
  int subset_size = 0;      // servers of each service in a caller's subset; 0: no subsetting
  double max_seconds = 30;  // limit for one size; a size predicted to take longer is skipped
};

// Adds the slopes to the report, and prints to stdout which sizes were skipped and why.
void measure_control_slopes(const ControlOptions& options, SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
