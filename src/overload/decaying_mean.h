// A mean of samples in which older ones count less.
#pragma once

#include "myrtlecroft/decaying_sum.h"

namespace myrtlecroft::overload {

// Time over which most estimates forget.
constexpr Nanos kRecent = 4 * kSecond;

class DecayingMean {
 public:
  explicit DecayingMean(Nanos over = kRecent) : total_(over), weight_(over) {}

  void add(double sample, Nanos now) {
    total_.add(sample, now);
    weight_.add(1, now);
  }

  // `guess` counts as `guess_weight` samples: the requests that end first are not typical of all that run.
  double mean(double guess, Nanos now, double guess_weight = kGuessWeight) const {
    double weight = weight_.read(now);
    return (total_.read(now) + guess * guess_weight) / (weight + guess_weight);
  }

 private:
  static constexpr double kGuessWeight = 2;  // samples

  DecayingSum total_;
  DecayingSum weight_;
};

}  // namespace myrtlecroft::overload
