#include "releases/rank_statistics.h"

#include <algorithm>
#include <boost/math/distributions/hypergeometric.hpp>
#include <cstddef>
#include <utility>

namespace myrtlecroft::releases {

double probability_of_at_least(const MarkedDraw& draw) {
  // The library accepts only counts that can occur.
  unsigned min = draw.drawn + draw.marked > draw.population ? draw.drawn + draw.marked - draw.population : 0;
  if (draw.seen <= min) return 1;
  if (draw.seen > std::min(draw.drawn, draw.marked)) return 0;
  boost::math::hypergeometric_distribution<double> distribution(draw.marked, draw.drawn, draw.population);
  return boost::math::cdf(boost::math::complement(distribution, draw.seen - 1));
}

double probability_by_chance(const RankCount& count) {
  return probability_of_at_least({.seen = count.found,
                                  .drawn = count.canaries,
                                  .marked = count.canaries,
                                  .population = count.canaries + count.baselines});
}

unsigned canaries_among_highest(const SampleGroups& samples, double allowance) {
  struct Sample {
    double value;
    bool is_canary;
  };
  std::vector<Sample> all;
  for (double value : samples.canary) all.push_back({value, true});
  for (double value : samples.baseline) all.push_back({value + allowance, false});
  std::sort(all.begin(), all.end(), [](const Sample& a, const Sample& b) {
    return a.value != b.value ? a.value > b.value : a.is_canary < b.is_canary;
  });
  auto end = all.begin() + static_cast<std::ptrdiff_t>(samples.canary.size());
  return static_cast<unsigned>(
      std::count_if(all.begin(), end, [](const Sample& sample) { return sample.is_canary; }));
}

unsigned canaries_among_lowest(const SampleGroups& samples, double allowance) {
  SampleGroups negated;
  for (double value : samples.canary) negated.canary.push_back(-value);
  for (double value : samples.baseline) negated.baseline.push_back(-value);
  return canaries_among_highest(negated, -allowance);
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace myrtlecroft::releases
