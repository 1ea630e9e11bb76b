#include "releases/rank_statistics.h"

#include <algorithm>
#include <boost/math/distributions/hypergeometric.hpp>
#include <cstddef>
#include <utility>

namespace myrtlecroft::releases {

double probability_of_at_least(const HypergeometricDraw& draw) {
  // Boost throws for counts that can't occur, so these are handled first.
  unsigned min =
      draw.draws + draw.successes > draw.population ? draw.draws + draw.successes - draw.population : 0;
  if (draw.successes_drawn <= min) return 1;
  if (draw.successes_drawn > std::min(draw.draws, draw.successes)) return 0;
  boost::math::hypergeometric_distribution<double> distribution(draw.successes, draw.draws, draw.population);
  return boost::math::cdf(boost::math::complement(distribution, draw.successes_drawn - 1));
}

double rank_p_value(const RankCount& count) {
  return probability_of_at_least({.successes_drawn = count.found,
                                  .draws = count.canaries,
                                  .successes = count.canaries,
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
