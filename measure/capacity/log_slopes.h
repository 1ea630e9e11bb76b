// Measures the cost of a decision through the replicated log, the sizes of log entries and snapshots, and the
// cost of log storage and of a restart from it, by servers, key shards and bytes of an entry.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

struct LogOptions {
  int subset_size = 0;      // servers of each service in a caller's subset; 0: no subsetting
  double max_seconds = 30;  // limit for one size, beyond the first four
};

// Adds the slopes to the report, and prints to stdout which sizes were skipped and why.
void measure_log_slopes(const LogOptions& options, SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
