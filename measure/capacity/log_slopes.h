// What a decision costs on its way through the common log, the sizes of entries and images, and what the
// log's store and a start from it cost: by servers, key shards and bytes of an entry.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

struct LogOptions {
  int subsetting = 0;       // servers that a caller uses of each service; 0: no subsets in the fleet file
  double max_seconds = 30;  // of one size, beyond the first four
};

// Adds the slopes to the sheet, and tells on stdout which sizes were left out and why.
void log_slopes(const LogOptions& options, SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
