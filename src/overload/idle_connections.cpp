#include "overload/idle_connections.h"

#include <algorithm>

#include "overload/concurrency_limit.h"
#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// Idle connections for each core: where callers return within kReturnTime, and where they do not.
constexpr double kMaxPerCore = 16;
constexpr double kMinPerCore = 1;
constexpr double kReturnTime = 8;    // seconds
constexpr double kStormThreads = 1;  // for each core, that read and do handshakes
constexpr Nanos kMinLimit = 10 * kMs;
// Of the limit, at each step.
constexpr double kStormFactor = 4;
constexpr double kDecrease = 0.7;
constexpr double kIncrease = 1.1;

}  // namespace

std::optional<Nanos> IdleConnections::next_limit(const Gauges& gauges, const Load& load) {
  if (!gauges.connections || config_.max_idle_time <= 0) return std::nullopt;
  double idle = *gauges.connections - static_cast<double>(load.open_requests);
  double returns = kReturnTime * load.received_recently / seconds(kRecent) / config_.callers;
  double max_idle = config_.cores * (kMinPerCore + (kMaxPerCore - kMinPerCore) * std::min(1.0, returns));
  bool storm =
      gauges.core_utilization.value_or(1) > kBusyCores && load.other_threads > kStormThreads * config_.cores;
  double factor = 1;
  if (storm) {
    factor = kStormFactor;
  } else if (idle > max_idle) {
    factor = kDecrease;
  } else if (idle < max_idle / 2) {
    factor = kIncrease;
  }
  Nanos limit = static_cast<Nanos>(factor * static_cast<double>(limit_));
  limit = std::clamp(limit, kMinLimit, std::max(kMinLimit, config_.max_idle_time));
  if (limit == limit_) return std::nullopt;
  limit_ = limit;
  return limit;
}

}  // namespace myrtlecroft::overload
