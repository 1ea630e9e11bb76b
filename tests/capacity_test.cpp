// The fit, spread and output format of capacity measurements, on data with known results.
#include <gtest/gtest.h>

#include <cmath>
#include <stdexcept>

#include "capacity/slope.h"

namespace myrtlecroft::capacity {
namespace {

std::vector<Point> make_points(double factor, double exponent) {
  std::vector<Point> out;
  for (double size : {100.0, 250.0, 900.0, 6100.0}) {
    double cost = factor * std::pow(size, exponent);
    out.push_back({size, {cost / 2, cost, cost * 3}});
  }
  return out;
}

TEST(Slope, FitOfAPowerGivesItsExponentAndFactor) {
  for (double exponent : {0.0, 0.5, 1.0, 1.37, 2.0}) {
    Fit found = fit_power_law(make_points(3, exponent));
    EXPECT_NEAR(found.exponent, exponent, 1e-9);
    EXPECT_NEAR(found.factor, 3, 1e-6);
    EXPECT_NEAR(found.cost_at(1000), 3 * std::pow(1000, exponent), 1e-3);
  }
}

TEST(Slope, FitOfScatteredCostsIsByLeastSquares) {
  // Logarithms of base two: (0, 0), (1, 2), (2, 2), (3, 4).
  std::vector<Point> points = {{1, {1, 1, 1}}, {2, {4, 4, 4}}, {4, {4, 4, 4}}, {8, {16, 16, 16}}};
  EXPECT_NEAR(fit_power_law(points).exponent, 1.2, 1e-9);
}

TEST(Slope, FitThrowsOnTooFewSizesRepeatedSizesOrAZeroCost) {
  std::vector<Point> points = make_points(1, 1);
  points.pop_back();
  EXPECT_THROW(fit_power_law(points), std::invalid_argument);
  points.push_back(points.back());
  EXPECT_THROW(fit_power_law(points), std::invalid_argument) << "a repeated size";
  points.back() = {6100, {0, 0, 0}};
  EXPECT_THROW(fit_power_law(points), std::invalid_argument) << "a zero cost";
}

TEST(Slope, SpreadIsMinimumMedianAndMaximum) {
  Spread odd = compute_spread({5, 1, 3});
  EXPECT_EQ(odd.min, 1);
  EXPECT_EQ(odd.median, 3);
  EXPECT_EQ(odd.max, 5);
  EXPECT_EQ(compute_spread({4, 1, 3, 2}).median, 2.5);
  EXPECT_THROW(compute_spread({}), std::invalid_argument);
}

TEST(Slope, LineHasTheSpreadAtEachSizeAndTheExtrapolatedCost) {
  Slope slope{
      .name = "step", .by = "servers", .unit = "ms", .planned_size = 6100, .points = make_points(2, 1)};
  EXPECT_EQ(format_slope(slope),
            "slope step by=servers sizes=100,250,900,6100 median=200,500,1800,1.22e+04 "
            "min=100,250,900,6100 max=600,1500,5400,3.66e+04 exponent=1.00 unit=ms");
  slope.planned_size = 10'000;
  EXPECT_NE(format_slope(slope).find("unit=ms extrapolated=10000:2e+04"), std::string::npos);
  slope.points.pop_back();
  EXPECT_THROW(format_slope(slope), std::invalid_argument);
}

TEST(Slope, LineWithAZeroCostHasNoExponent) {
  Slope slope{.name = "bytes", .by = "services", .unit = "B", .planned_size = 0, .points = make_points(1, 1)};
  slope.points[1].cost = {};
  EXPECT_NE(format_slope(slope).find("exponent=none"), std::string::npos);
}

TEST(Slope, SinglePointIsPrintedAsAFigure) {
  EXPECT_EQ(format_figure("step", "servers=500", "ms", {1, 2, 3}),
            "figure step servers=500 median=2 min=1 max=3 unit=ms");
}

TEST(SlopeReport, PointsOfTheSameNameAndVariableFormOneSlope) {
  SlopeReport slope_report;
  for (double size : {1.0, 2.0, 4.0, 8.0}) {
    slope_report.add({"step", "servers", "ms", 16}, size, {size});
    slope_report.add({"step", "shards", "ms", 0}, size, {1});
  }
  ASSERT_EQ(slope_report.slopes().size(), 2u);
  EXPECT_EQ(slope_report.slopes()[0].points.size(), 4u);
  EXPECT_NEAR(fit_power_law(slope_report.slopes()[0].points).exponent, 1, 1e-9);
  EXPECT_EQ(format_summary(slope_report.slopes()[0]), "step/servers@8=8ms");
}

}  // namespace
}  // namespace myrtlecroft::capacity
