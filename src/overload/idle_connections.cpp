#include "overload/idle_connections.h"

#include <algorithm>

#include "overload/concurrency_limit.h"
#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// Idle connections allowed for each core: if every caller returns within kReturnTime, and if none does.
constexpr double kMaxPerCore = 16;
constexpr double kMinPerCore = 1;
constexpr double kReturnTime = 8;      // seconds
constexpr double kStormThreads = 1;    // threads for each core, other than runs: reading and handshakes
constexpr Nanos kMinLimit = 10 * kMs;  // of the idle time
// Factors of the limit at each adjustment.
constexpr double kStormFactor = 4;
constexpr double kDecreaseFactor = 0.7;
constexpr double kIncreaseFactor = 1.1;

}  // namespace

std::optional<Nanos> IdleConnections::next_limit(const Gauges& gauges, const Load& load) {
  if (!gauges.connections || config_.max_idle_time <= 0) return std::nullopt;
  double idle_count = *gauges.connections - static_cast<double>(load.open_requests);
  double returns_per_caller =
      kReturnTime * load.received_recently / seconds(kEstimateTimeConstant) / config_.callers;
  double max_idle =
      config_.cores * (kMinPerCore + (kMaxPerCore - kMinPerCore) * std::min(1.0, returns_per_caller));
  bool storm = gauges.core_utilization.value_or(1) > kBusyCoreUtilization &&
               load.other_threads > kStormThreads * config_.cores;
  double factor = 1;
  if (storm) {
    factor = kStormFactor;
  } else if (idle_count > max_idle) {
    factor = kDecreaseFactor;
  } else if (idle_count < max_idle / 2) {
    factor = kIncreaseFactor;
  }
  Nanos limit = static_cast<Nanos>(factor * static_cast<double>(limit_));
  limit = std::clamp(limit, kMinLimit, std::max(kMinLimit, config_.max_idle_time));
  if (limit == limit_) return std::nullopt;
  limit_ = limit;
  return limit;
}

}  // namespace myrtlecroft::overload
