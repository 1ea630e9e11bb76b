// Measures the latency that the server adds to a request: latency through the server minus latency through a
// bare relay, in alternating intervals of the same run.
#pragma once

#include "slope.h"

namespace myrtlecroft::capacity {

// Medians over the runs; each figure is that of the rate where it is largest.
struct AddedLatency {
  double p50_us = 0;
  double p99_us = 0;                  // of all requests of a run
  double median_interval_p99_us = 0;  // of the median interval of a run
};

// Adds the slopes by rate to the report. Throws std::runtime_error
// when the server or the relay doesn't answer.
AddedLatency measure_added_latency(SlopeReport& slope_report);

}  // namespace myrtlecroft::capacity
