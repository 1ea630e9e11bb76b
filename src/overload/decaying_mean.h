// An exponentially decaying mean of samples.
#pragma once

#include "myrtlecroft/decaying_sum.h"

namespace myrtlecroft::overload {

// The time constant of most estimates.
constexpr Nanos kEstimateTimeConstant = 4 * kSecond;

// A mean of samples whose weights decay by a factor of e in each time constant.
class DecayingMean {
 public:
  explicit DecayingMean(Nanos time_constant = kEstimateTimeConstant)
      : total_(time_constant), weight_(time_constant) {}

  void add(double sample, Nanos now) {
    total_.add(sample, now);
    weight_.add(1, now);
  }

  // The mean including `prior`, which counts as `prior_weight` samples: the runs that end first are shorter
  // than typical runs.
  double mean(double prior, Nanos now, double prior_weight = kPriorWeight) const {
    double weight = weight_.read(now);
    return (total_.read(now) + prior * prior_weight) / (weight + prior_weight);
  }

 private:
  static constexpr double kPriorWeight = 2;  // samples

  DecayingSum total_;
  DecayingSum weight_;
};

}  // namespace myrtlecroft::overload
