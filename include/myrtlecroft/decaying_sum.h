// How things have gone lately, measured so that what is older counts less.
#pragma once

#include <cmath>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

// A sum in which what is older counts less, brought up to date when it is read.
class DecayingSum {
 public:
  explicit DecayingSum(Nanos over) : over_(over) {}
  void add(double x, Nanos now) { sum_ = read(now) + x, at_ = now; }
  double read(Nanos now) const {
    return sum_ * std::exp(-static_cast<double>(now - at_) / static_cast<double>(over_));
  }

 private:
  Nanos over_;
  Nanos at_ = 0;
  double sum_ = 0;
};

}  // namespace myrtlecroft
