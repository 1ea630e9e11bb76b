// Time that the server adds to a request: through the server less through a bare relay, in alternating
// stretches of the same run.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

// Medians over the runs, each at the rate where it is largest.
struct Added {
  double p50_us = 0;
  double p99_us = 0;               // of all requests of a run
  double p99_of_a_stretch_us = 0;  // of the middle one of a run's stretches
};

// Adds the slopes by rate to the sheet.
Added measure_added_time(SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
