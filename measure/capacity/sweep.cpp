#include "sweep.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cost.h"
#include "settings/document.h"

namespace myrtlecroft::capacity {
namespace {

struct MeasuredSize {
  int size = 0;
  double seconds = 0;
};

// Predicts the wall time of the next size in seconds from the growth between the two sizes before it,
// assuming at least linear growth.
double predict_seconds(const std::vector<MeasuredSize>& measured, int next) {
  const MeasuredSize& last = measured.back();
  const MeasuredSize& before = measured[measured.size() - 2];
  double growth = std::log(last.seconds / before.seconds) / std::log(double(last.size) / before.size);
  return last.seconds * std::pow(double(next) / last.size, std::max(1.0, growth));
}

}  // namespace

void run_sweep(const Sweep& sweep, const std::function<fleet::Fleet(int)>& make_fleet,
               const std::function<void(int, fleet::Fleet)>& measure) {
  std::vector<MeasuredSize> measured;
  for (int size : sweep.sizes) {
    fleet::Fleet fleet;
    try {
      fleet = make_fleet(size);
    } catch (const settings::DocumentError& error) {
      std::printf("not run: by=%s from %d on, the fleet file does not take it: %s\n", sweep.by.c_str(), size,
                  error.what());
      return;
    }
    if (measured.size() >= kMinSizesForFit && predict_seconds(measured, size) > sweep.max_seconds) {
      std::printf("not run: by=%s from %d on, would take %.0f s\n", sweep.by.c_str(), size,
                  predict_seconds(measured, size));
      return;
    }
    double begin = wall_seconds();
    measure(size, std::move(fleet));
    measured.push_back({size, wall_seconds() - begin});
    std::printf("ran: by=%s size=%d in %.1f s\n", sweep.by.c_str(), size, measured.back().seconds);
    std::fflush(stdout);
  }
}

}  // namespace myrtlecroft::capacity
