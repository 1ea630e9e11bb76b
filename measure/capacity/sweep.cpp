#include "sweep.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cost.h"
#include "settings/document.h"

namespace myrtlecroft::capacity {
namespace {

struct Ran {
  int size = 0;
  double seconds = 0;
};

// Predicts the wall time of the next size in seconds from the growth between the two sizes before it, assuming at
// least linear growth.
double predicted(const std::vector<Ran>& ran, int next) {
  const Ran& last = ran.back();
  const Ran& before = ran[ran.size() - 2];
  double growth = std::log(last.seconds / before.seconds) / std::log(double(last.size) / before.size);
  return last.seconds * std::pow(double(next) / last.size, std::max(1.0, growth));
}

}  // namespace

void run(const Sweep& sweep, const std::function<fleet::Fleet(int)>& fleet_of,
         const std::function<void(int, fleet::Fleet)>& measure) {
  std::vector<Ran> ran;
  for (int size : sweep.sizes) {
    fleet::Fleet fleet;
    try {
      fleet = fleet_of(size);
    } catch (const settings::DocumentError& error) {
      std::printf("not run: by=%s from %d on, the fleet file does not take it: %s\n", sweep.by.c_str(), size,
                  error.what());
      return;
    }
    if (ran.size() >= kFewestSizes && predicted(ran, size) > sweep.max_seconds) {
      std::printf("not run: by=%s from %d on, would take %.0f s\n", sweep.by.c_str(), size,
                  predicted(ran, size));
      return;
    }
    double begin = wall_seconds();
    measure(size, std::move(fleet));
    ran.push_back({size, wall_seconds() - begin});
    std::printf("ran: by=%s size=%d in %.1f s\n", sweep.by.c_str(), size, ran.back().seconds);
    std::fflush(stdout);
  }
}

}  // namespace myrtlecroft::capacity
