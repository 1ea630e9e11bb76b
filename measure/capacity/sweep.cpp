#include "sweep.h"

#include <cstdio>

#include "cost.h"
#include "settings/document.h"
#include "slope.h"

namespace myrtlecroft::capacity {
namespace {

// The steepest that is expected: a size twice as large takes four times as long.
double predicted(double seconds, int size, int next) {
  double growth = static_cast<double>(next) / size;
  return seconds * growth * growth;
}

}  // namespace

void run(const Sweep& sweep, const std::function<void(int size)>& measure) {
  double seconds = 0;
  for (std::size_t i = 0; i < sweep.sizes.size(); ++i) {
    int size = sweep.sizes[i];
    double expected = i > 0 ? predicted(seconds, sweep.sizes[i - 1], size) : 0;
    if (i >= kFewestSizes && expected > sweep.most_seconds) {
      std::printf("not run: by=%s from %d on, would take up to %.0f s\n", sweep.by.c_str(), size, expected);
      return;
    }
    double begin = wall_seconds();
    try {
      measure(size);
    } catch (const settings::DocumentError& error) {
      std::printf("not run: by=%s from %d on, the fleet file does not take it: %s\n", sweep.by.c_str(), size,
                  error.what());
      return;
    }
    seconds = wall_seconds() - begin;
    std::printf("ran: by=%s size=%d in %.1f s\n", sweep.by.c_str(), size, seconds);
    std::fflush(stdout);
  }
}

}  // namespace myrtlecroft::capacity
