// Measures the time to readiness of 30 servers that are killed and restarted together, with engines that are
// up at once or 3 s late, and with the membership service up or down.
#include <algorithm>
#include <cstdio>

#include "ready.h"

int main() {
  using namespace myrtlecroft;
  std::size_t fewest_ready = 30;
  double max_p90_ms = 0;
  double max_own_p90_ms = 0;
  int crashed = 0;
  for (bool membership : {true, false}) {
    for (Nanos startup_delay : {Nanos{0}, 3 * kSecond}) {
      measure::ReadyResult result =
          measure::measure_readiness({.engine_delay = startup_delay, .membership = membership});
      using measure::ReadyResult;
      std::printf(
          "engine after %lld ms, membership %s: ready %zu of 30, p50 %.0f p90 %.0f ms; the server's own "
          "p90 "
          "%.0f ms; completed %d, crashed %d\n",
          static_cast<long long>(startup_delay / kMs), membership ? "up" : "down", result.ready_ms.size(),
          ReadyResult::at(result.ready_ms, 0.5), ReadyResult::at(result.ready_ms, 0.9),
          ReadyResult::at(result.own_startup_ms, 0.9), result.completed, result.crashed);
      fewest_ready = std::min(fewest_ready, result.ready_ms.size());
      max_p90_ms = std::max(max_p90_ms, ReadyResult::at(result.ready_ms, 0.9));
      max_own_p90_ms = std::max(max_own_p90_ms, ReadyResult::at(result.own_startup_ms, 0.9));
      crashed += result.crashed;
    }
  }
  std::printf("measured ready nodes=30 fewest_ready=%zu p90_ms=%.0f own_p90_ms=%.0f crashed=%d\n",
              fewest_ready, max_p90_ms, max_own_p90_ms, crashed);
}
