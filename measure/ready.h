// Measures how soon real servers are ready after all are killed and restarted together under load: from the
// exec of a server to its first successful health check.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::measure {

// Options of one measurement.
struct ReadyOptions {
  int server_count = 30;
  Nanos engine_delay = 0;       // from the exec of a server until its engine is up
  bool membership = true;       // false: the membership service is down
  double requests_per_s = 600;  // load over all servers, throughout the measurement
};

// Times of one measurement, in milliseconds.
struct ReadyResult {
  std::vector<double> ready_ms;        // of each server that became ready, sorted
  std::vector<double> own_startup_ms;  // ready_ms without engine_delay: the time of the server itself, sorted
  int crashed = 0;                     // servers that exited by themselves
  std::string last_log_line;           // last log line of one of these
  int completed = 0;                   // requests of the load
  // Returns the quantile `part` (0 to 1) of sorted times; the maximum wait if there are none.
  static double at(const std::vector<double>& sorted, double part);
};

// Runs the measurement on the calling thread.
ReadyResult measure_readiness(const ReadyOptions& options);

}  // namespace myrtlecroft::measure
