// Runs a measurement at rising sizes, and leaves out those that this version does not take or that would take
// too long.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace myrtlecroft::capacity {

struct Sweep {
  std::string by;
  std::vector<int> sizes;   // rising
  double most_seconds = 0;  // of the wall, that one size may take; the first four are run in any case
};

// `measure` runs one size. A size at which it throws settings::DocumentError is the first that the fleet file
// may not have: it and larger ones are left out. What is left out is told on stdout.
void run(const Sweep& sweep, const std::function<void(int size)>& measure);

}  // namespace myrtlecroft::capacity
