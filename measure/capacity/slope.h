// What something costs at several sizes, with the spread of repeated runs and the exponent fitted to it, and
// the one form in which every capacity measurement prints this.
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

constexpr std::size_t kFewestSizes = 4;  // for a fit: fewer hide what a straight line can't follow

struct Spread {
  double min = 0;
  double median = 0;
  double max = 0;
};
// Throws std::invalid_argument where there is no sample.
Spread compute_spread(std::vector<double> samples);

struct Point {
  double size = 0;
  Spread cost;
};

struct Slope {
  std::string name;
  std::string by;             // the variable
  std::string unit;           // of the cost
  double planned = 0;         // size that must be known of; where it was not run, it is extrapolated. 0: none
  std::vector<Point> points;  // by rising size
};

// cost = factor * size ^ exponent, by least squares on the logarithms of the medians.
struct Fit {
  double factor = 0;
  double exponent = 0;
  double at(double size) const;
};
// Throws std::invalid_argument where there are fewer than four sizes, one comes twice, or a size or median is
// not above zero.
Fit fit(const std::vector<Point>& points);

// `slope NAME by=VARIABLE sizes=a,b,c,d median=... min=... max=... exponent=N.NN unit=...`, and behind it
// `extrapolated=SIZE:COST` where the planned size was not run. The exponent is `none` where a median is zero.
// Throws std::invalid_argument where there are fewer than four sizes.
std::string format_slope(const Slope& slope);
// A single point, for what has too few sizes: `figure NAME WHERE median=... min=... max=... unit=...`.
std::string format_figure(const std::string& name, const std::string& where, const std::string& unit,
                          const Spread& cost);
// The median at the largest size that was run: `NAME/VARIABLE@SIZE=COSTunit`.
std::string format_summary(const Slope& slope);

// Collects slopes point by point, in the order in which they first came.
class SlopeReport {
 public:
  struct What {
    std::string name;
    std::string by;
    std::string unit;
    double planned = 0;
  };
  void add(const What& what, double size, std::vector<double> samples);

  const std::vector<Slope>& slopes() const { return slopes_; }
  void print() const;                       // each slope on a line; of too few sizes, its points as figures
  void print_last(const char* word) const;  // all of them on one line behind the word

 private:
  std::vector<Slope> slopes_;
};

}  // namespace myrtlecroft::capacity
