// Rank statistics that compare canary servers with baseline servers. Called by canary_analysis, on the
// control loop's thread. Pure functions; owns nothing.
//
// All servers are ordered by one metric, and as many of the worst are examined as there are canaries. If the
// version makes no difference, the number of canaries among them is hypergeometric, whatever the distribution
// of the metric.
#pragma once

#include <vector>

namespace myrtlecroft::releases {

// One metric: a value for each server, the canaries apart.
struct SampleGroups {
  std::vector<double> canary;
  std::vector<double> baseline;
};

// A draw without replacement: `drawn` out of `population`, of which `marked` are marked.
struct MarkedDraw {
  unsigned seen = 0;  // marked ones among the drawn
  unsigned drawn = 0;
  unsigned marked = 0;
  unsigned population = 0;
};

// Probability that at least `seen` of the drawn ones are marked. Defined for all values; never throws.
double probability_of_at_least(const MarkedDraw& draw);

// Canaries found in one end of the order.
struct RankCount {
  unsigned found = 0;
  unsigned canaries = 0;
  unsigned baselines = 0;
};

// Probability of at least `found` canaries among the first `canaries` of all servers, if the version makes no
// difference.
double probability_by_chance(const RankCount& count);

// Canaries among as many of the highest values as there are canaries, after `allowance` was added to each
// baseline value. A canary that ties with a baseline server counts as lower.
unsigned canaries_among_highest(const SampleGroups& samples, double allowance);

// Canaries among as many of the lowest values as there are canaries, after `allowance` was added to each
// baseline value. A canary that ties with a baseline server counts as higher.
unsigned canaries_among_lowest(const SampleGroups& samples, double allowance);

// The upper median; 0 for no values.
double median(std::vector<double> values);

}  // namespace myrtlecroft::releases
