// Runs a measurement at ascending sizes, and skips those that this
// version rejects or that would take too long.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"
#include "slope.h"

namespace myrtlecroft::capacity {

struct Sweep {
  std::string by;
  std::vector<int> sizes;  // ascending
  double max_seconds = 0;  // wall time limit of one size; the first four sizes always run
};

// Stops at the first size whose fleet can't be read (settings::DocumentError) or whose predicted time is over
// the limit, and prints that to stdout. Other exceptions pass through.
void run_sweep(const Sweep& sweep, const std::function<fleet::Fleet(int size)>& make_fleet,
               const std::function<void(int size, fleet::Fleet fleet)>& measure);

// One size of a sweep, and the report that its samples are added to.
struct SweepPoint {
  SlopeReport& slope_report;
  std::string by;
  double size = 0;
  double planned_size = 0;
  void add(const std::string& name, const std::string& unit, std::vector<double> samples) const {
    slope_report.add({name, by, unit, planned_size}, size, std::move(samples));
  }
};

}  // namespace myrtlecroft::capacity
