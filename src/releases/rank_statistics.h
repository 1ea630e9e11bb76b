// Rank statistics that compare canary servers with baseline servers. Called by canary_analysis, on the
// control loop's thread. Pure functions; owns nothing.
//
// All servers are sorted by one metric, and as many of the worst are examined as there are canaries. If the
// version makes no difference, the number of canaries among them has a hypergeometric distribution, whatever
// the distribution of the metric.
#pragma once

#include <vector>

namespace myrtlecroft::releases {

// The values of one metric, one for each server.
struct SampleGroups {
  std::vector<double> canary;
  std::vector<double> baseline;
};

// A draw of `draws` items without replacement out of `population`, of which `successes` are successes.
struct HypergeometricDraw {
  unsigned successes_drawn = 0;  // among the items drawn
  unsigned draws = 0;
  unsigned successes = 0;
  unsigned population = 0;
};

// Returns the probability of at least `successes_drawn` successes among the items drawn. Defined for all
// values; never throws.
double probability_of_at_least(const HypergeometricDraw& draw);

// Number of canaries found at one end of the sorted servers.
struct RankCount {
  unsigned found = 0;
  unsigned canaries = 0;
  unsigned baselines = 0;
};

// Returns the probability of at least `found` canaries among the first `canaries` of all servers, if the
// version makes no difference.
double rank_p_value(const RankCount& count);

// Counts the canaries among the N highest values, where N is the number of canaries, after adding `allowance`
// to each baseline value. A canary that ties with a baseline server counts as lower.
unsigned canaries_among_highest(const SampleGroups& samples, double allowance);

// Counts the canaries among the N lowest values, where N is the number of canaries, after adding `allowance`
// to each baseline value. A canary that ties with a baseline server counts as higher.
unsigned canaries_among_lowest(const SampleGroups& samples, double allowance);

// Returns the upper median; 0 for no values.
double median(std::vector<double> values);

}  // namespace myrtlecroft::releases
