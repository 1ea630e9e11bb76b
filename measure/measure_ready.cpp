// 30 servers killed and started again together: how soon they are ready, with the engine up at once and late,
// and with the membership service up and down.
#include <algorithm>
#include <cstdio>

#include "ready.h"

int main() {
  using namespace myrtlecroft;
  std::size_t fewest = 30;
  double worst = 0;
  double worst_own = 0;
  int crashed = 0;
  for (bool membership : {true, false}) {
    for (Nanos after : {Nanos{0}, 3 * kSecond}) {
      measure::ReadyResult got = measure::play_ready({.engine_after = after, .membership = membership});
      using measure::ReadyResult;
      std::printf(
          "engine after %lld ms, membership %s: ready %zu of 30, p50 %.0f p90 %.0f ms; of it the program's "
          "p90 "
          "%.0f ms; completed %d, crashed %d\n",
          static_cast<long long>(after / kMs), membership ? "up" : "down", got.ready_ms.size(),
          ReadyResult::at(got.ready_ms, 0.5), ReadyResult::at(got.ready_ms, 0.9),
          ReadyResult::at(got.own_ms, 0.9), got.completed, got.crashed);
      fewest = std::min(fewest, got.ready_ms.size());
      worst = std::max(worst, ReadyResult::at(got.ready_ms, 0.9));
      worst_own = std::max(worst_own, ReadyResult::at(got.own_ms, 0.9));
      crashed += got.crashed;
    }
  }
  std::printf("measured ready nodes=30 fewest_ready=%zu p90_ms=%.0f own_p90_ms=%.0f crashed=%d\n", fewest,
              worst, worst_own, crashed);
}
