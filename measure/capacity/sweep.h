// Runs a measurement at rising sizes, and leaves out those that this version does not take or that would take
// too long.
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
  std::vector<int> sizes;  // rising
  double max_seconds = 0;  // of the wall, that one size may take; the first four are run in any case
};

// A size whose fleet can't be read (settings::DocumentError) is left out, and so are larger ones; what is
// left out is told on stdout.
void run(const Sweep& sweep, const std::function<fleet::Fleet(int size)>& fleet_of,
         const std::function<void(int size, fleet::Fleet fleet)>& measure);

// The variable of a slope, its size now, and where what is measured goes.
struct At {
  SlopeReport& slope_report;
  std::string by;
  double size = 0;
  double planned = 0;
  void add(const std::string& name, const std::string& unit, std::vector<double> samples) const {
    slope_report.add({name, by, unit, planned}, size, std::move(samples));
  }
};

}  // namespace myrtlecroft::capacity
