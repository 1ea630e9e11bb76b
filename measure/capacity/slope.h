// Costs at several sizes, with the spread of repeated runs and a fitted exponent, and the output format that
// all capacity measurements share.
#pragma once

#include <string>
#include <vector>

namespace myrtlecroft::capacity {

// The planned sizes of one fleet.
constexpr double kPlannedServers = 6'100;
constexpr double kPlannedCallers = 160'000;
constexpr double kPlannedServices = 9'300;
constexpr double kPlannedRoutes = 49'000;
constexpr double kPlannedTenants = 380'000;

constexpr std::size_t kMinSizesForFit = 4;  // fewer hide a deviation from a straight line

// Minimum, median and maximum of repeated runs.
struct Spread {
  double min = 0;
  double median = 0;
  double max = 0;
};
// Throws std::invalid_argument without samples.
Spread compute_spread(std::vector<double> samples);

struct Point {
  double size = 0;
  Spread cost;
};

struct Slope {
  std::string name;
  std::string by;             // variable that the size counts
  std::string unit;           // of the cost
  double planned_size = 0;    // size whose cost is extrapolated when it was not run; 0: none
  std::vector<Point> points;  // by ascending size
};

// cost = factor * size ^ exponent, by least squares on the logarithms of the medians.
struct Fit {
  double factor = 0;
  double exponent = 0;
  double cost_at(double size) const;
};
// Throws std::invalid_argument with fewer than four sizes, with sizes that are not strictly ascending, or
// when a size or median is not positive.
Fit fit_power_law(const std::vector<Point>& points);

// `slope NAME by=VARIABLE sizes=a,b,c,d median=... min=... max=... exponent=N.NN unit=...`, followed by
// `extrapolated=SIZE:COST` when the planned size was not run. The exponent is `none` when a median is zero.
// Throws std::invalid_argument with fewer than four sizes.
std::string format_slope(const Slope& slope);
// A single point, for a cost with too few sizes: `figure NAME WHERE median=... min=... max=... unit=...`.
std::string format_figure(const std::string& name, const std::string& where, const std::string& unit,
                          const Spread& cost);
// The median at the largest size that was run: `NAME/VARIABLE@SIZE=COSTunit`.
std::string format_summary(const Slope& slope);

// Collects slopes point by point, in the order of their first points. Not thread-safe.
class SlopeReport {
 public:
  struct SlopeKey {
    std::string name;
    std::string by;
    std::string unit;
    double planned_size = 0;
  };
  // Adds a point; the samples must not be empty.
  void add(const SlopeKey& key, double size, std::vector<double> samples);

  const std::vector<Slope>& slopes() const { return slopes_; }
  void print() const;  // one line for each slope; for too few sizes, one figure line for each point
  void print_summary(const char* label) const;  // all summaries on one line that begins with `label`

 private:
  std::vector<Slope> slopes_;
};

}  // namespace myrtlecroft::capacity
