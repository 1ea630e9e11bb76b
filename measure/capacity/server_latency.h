// Time that the server adds to a request: through the server less through a bare relay, in alternating
// stretches of the same run.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

struct Added {
  double p50_us = 0;  // medians over the runs, at the rate where the p99 is largest
  double p99_us = 0;
};

// Adds the slopes by rate to the sheet.
Added measure_added_time(Sheet& sheet);

}  // namespace myrtlecroft::capacity
