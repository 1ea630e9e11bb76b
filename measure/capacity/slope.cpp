#include "slope.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace myrtlecroft::capacity {
namespace {

std::string format_number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.4g", value);
  return out;
}

std::string format_integer(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.0f", value);
  return out;
}

std::string join_points(const std::vector<Point>& points, std::string (*text)(const Point&)) {
  std::string out;
  for (const Point& point : points) out += (out.empty() ? "" : ",") + text(point);
  return out;
}

void require_enough_sizes(const std::vector<Point>& points) {
  if (points.size() < kMinSizesForFit) throw std::invalid_argument("a slope needs at least four sizes");
}

bool has_size(const Slope& slope, double size) {
  return std::any_of(slope.points.begin(), slope.points.end(),
                     [&](const Point& point) { return point.size == size; });
}

bool all_above_zero(const std::vector<Point>& points) {
  return std::all_of(points.begin(), points.end(), [](const Point& point) { return point.cost.median > 0; });
}

bool needs_extrapolation(const Slope& slope) {
  return slope.planned_size > 0 && !has_size(slope, slope.planned_size) && all_above_zero(slope.points);
}

}  // namespace

Spread compute_spread(std::vector<double> samples) {
  if (samples.empty()) throw std::invalid_argument("no samples");
  std::sort(samples.begin(), samples.end());
  std::size_t middle = samples.size() / 2;
  double median = samples.size() % 2 ? samples[middle] : (samples[middle - 1] + samples[middle]) / 2;
  return {.min = samples.front(), .median = median, .max = samples.back()};
}

double Fit::cost_at(double size) const { return factor * std::pow(size, exponent); }

Fit fit_power_law(const std::vector<Point>& points) {
  require_enough_sizes(points);
  double mean_x = 0;
  double mean_y = 0;
  for (std::size_t i = 0; i < points.size(); ++i) {
    if (i > 0 && points[i].size <= points[i - 1].size)
      throw std::invalid_argument("sizes are not strictly ascending");
    if (points[i].size <= 0 || points[i].cost.median <= 0)
      throw std::invalid_argument("a size or median is not positive");
    mean_x += std::log(points[i].size);
    mean_y += std::log(points[i].cost.median);
  }
  const auto count = static_cast<double>(points.size());
  mean_x /= count;
  mean_y /= count;
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    double x = std::log(point.size) - mean_x;
    covariance += x * (std::log(point.cost.median) - mean_y);
    variance += x * x;
  }
  Fit out;
  out.exponent = covariance / variance;
  out.factor = std::exp(mean_y - out.exponent * mean_x);
  return out;
}

std::string format_slope(const Slope& slope) {
  const std::vector<Point>& points = slope.points;
  require_enough_sizes(points);
  std::string out = "slope " + slope.name + " by=" + slope.by;
  out += " sizes=" + join_points(points, [](const Point& point) { return format_integer(point.size); });
  out +=
      " median=" + join_points(points, [](const Point& point) { return format_number(point.cost.median); });
  out += " min=" + join_points(points, [](const Point& point) { return format_number(point.cost.min); });
  out += " max=" + join_points(points, [](const Point& point) { return format_number(point.cost.max); });
  char exponent[32] = "none";
  if (all_above_zero(points))
    std::snprintf(exponent, sizeof exponent, "%.2f", fit_power_law(points).exponent);
  out += std::string(" exponent=") + exponent + " unit=" + slope.unit;
  if (needs_extrapolation(slope)) {
    out += " extrapolated=" + format_integer(slope.planned_size) + ":" +
           format_number(fit_power_law(points).cost_at(slope.planned_size));
  }
  return out;
}

std::string format_figure(const std::string& name, const std::string& where, const std::string& unit,
                          const Spread& cost) {
  return "figure " + name + " " + where + " median=" + format_number(cost.median) +
         " min=" + format_number(cost.min) + " max=" + format_number(cost.max) + " unit=" + unit;
}

std::string format_summary(const Slope& slope) {
  const Point& last = slope.points.back();
  std::string out = slope.name + "/" + slope.by + "@" + format_integer(last.size) + "=";
  return out + format_number(last.cost.median) + slope.unit;
}

void SlopeReport::add(const SlopeKey& key, double size, std::vector<double> samples) {
  auto matches = [&](const Slope& slope) { return slope.name == key.name && slope.by == key.by; };
  auto found = std::find_if(slopes_.begin(), slopes_.end(), matches);
  if (found == slopes_.end()) {
    Slope added;
    added.name = key.name;
    added.by = key.by;
    added.unit = key.unit;
    added.planned_size = key.planned_size;
    found = slopes_.insert(slopes_.end(), added);
  }
  found->points.push_back({size, compute_spread(std::move(samples))});
}

void SlopeReport::print() const {
  for (const Slope& slope : slopes_) {
    if (slope.points.size() >= kMinSizesForFit) {
      std::printf("%s\n", format_slope(slope).c_str());
      continue;
    }
    for (const Point& point : slope.points) {
      std::string where = slope.by + "=" + format_integer(point.size);
      std::printf("%s\n", format_figure(slope.name, where, slope.unit, point.cost).c_str());
    }
  }
}

void SlopeReport::print_summary(const char* label) const {
  std::printf("%s", label);
  for (const Slope& slope : slopes_) std::printf(" %s", format_summary(slope).c_str());
  std::printf("\n");
}

}  // namespace myrtlecroft::capacity
