// What callers are told of when and how much to send: Retry-After with each rejection, and the capacity that
// the server advertises.
#pragma once

#include <optional>
#include <random>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::overload {

class RetryAdvice {
 public:
  // `config` must outlive it.
  RetryAdvice(const ServiceConfig& config, std::uint64_t seed);

  // Random, so that callers which are rejected together do not come back together. `throughput`: requests per
  // second.
  Nanos retry_after(Mode mode, std::size_t queued, double throughput);

  // The value to advertise, if the deployment has one. `many_rejected`: more than usual lately;
  // `admissible`: requests that may run or be queued, needed for an allowance only.
  std::optional<double> advertised(Mode mode, bool many_rejected, double admissible);

 private:
  const ServiceConfig& config_;
  std::mt19937 random_;
  double pressure_ = 0;  // share that callers are asked to hold back
};

}  // namespace myrtlecroft::overload
