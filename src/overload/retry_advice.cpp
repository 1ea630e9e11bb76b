#include "overload/retry_advice.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// Retry-After, as a share of the time that the queue takes to empty.
constexpr double kMinWaitShare = 0.3;
constexpr double kMaxWaitShare = 0.7;
// Change of the pressure at each advertisement, and its limit.
constexpr double kPressureIncrease = 0.05;
constexpr double kPressureDecrease = 0.02;
constexpr double kMaxPressure = 0.95;
constexpr double kUnhealthyAllowance = 0.1;  // requests in flight for each caller

}  // namespace

RetryAdvice::RetryAdvice(const ServiceConfig& config, std::uint64_t seed)
    : config_(config), random_(static_cast<std::mt19937::result_type>(seed)) {}

Nanos RetryAdvice::retry_after(Mode mode, std::size_t queued, double throughput) {
  if (mode != Mode::kServing) return config_.max_retry_after;
  double drain_time = static_cast<double>(queued) / throughput;
  double share = std::uniform_real_distribution<double>(kMinWaitShare, kMaxWaitShare)(random_);
  return std::min(config_.max_retry_after, nanos(share * drain_time));
}

std::optional<double> RetryAdvice::advertised(Mode mode, bool many_rejected, double admissible) {
  if (config_.advertised_capacity == AdvertisedCapacity::kNone) return std::nullopt;
  bool healthy = mode == Mode::kServing;
  double pressure_change = many_rejected ? kPressureIncrease : -kPressureDecrease;
  pressure_ = std::clamp(pressure_ + pressure_change, 0.0, kMaxPressure);
  double pressure = healthy ? pressure_ : kMaxPressure;
  switch (config_.advertised_capacity) {
    case AdvertisedCapacity::kMaxInFlight:
      return healthy ? std::max(1 - pressure_, admissible / config_.callers) : kUnhealthyAllowance;
    case AdvertisedCapacity::kWeight:
      return 1 - pressure;
    case AdvertisedCapacity::kMinPriority:
    case AdvertisedCapacity::kNone:
      break;
  }
  return pressure;
}

}  // namespace myrtlecroft::overload
