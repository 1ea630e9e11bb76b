// An exponentially decaying sum of samples.
#pragma once

#include <cmath>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

// Sums samples whose weights decay by a factor of e in each time constant. The decay is computed when the sum
// is read. `now` must not go backwards.
class DecayingSum {
 public:
  explicit DecayingSum(Nanos time_constant) : time_constant_(time_constant) {}
  void add(double amount, Nanos now) { sum_ = read(now) + amount, updated_at_ = now; }
  double read(Nanos now) const {
    return sum_ * std::exp(-static_cast<double>(now - updated_at_) / static_cast<double>(time_constant_));
  }

 private:
  Nanos time_constant_;
  Nanos updated_at_ = 0;
  double sum_ = 0;
};

}  // namespace myrtlecroft
