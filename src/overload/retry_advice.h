// The advice to callers on when and how much to send: the Retry-After of each rejection, and the advertised
// capacity.
#pragma once

#include <optional>
#include <random>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::overload {

// One thread.
class RetryAdvice {
 public:
  // `config` must outlive the object. `seed` determines the random delays.
  RetryAdvice(const ServiceConfig& config, std::uint64_t seed);

  // The Retry-After of a rejection. It is random, so that callers rejected at the same time do not all retry
  // at the same time. `queued`: requests. `throughput`: requests per second.
  Nanos retry_after(Mode mode, std::size_t queued, double throughput);

  // The value to advertise; nullopt if the deployment advertises none. `many_rejected`: more requests than
  // usual were rejected recently. `admissible`: requests that may run or be queued; used only for
  // AdvertisedCapacity::kMaxInFlight.
  std::optional<double> advertised(Mode mode, bool many_rejected, double admissible);

 private:
  const ServiceConfig& config_;
  std::mt19937 random_;
  double pressure_ = 0;  // share of their requests that callers are asked to hold back
};

}  // namespace myrtlecroft::overload
