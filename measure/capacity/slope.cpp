#include "slope.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace myrtlecroft::capacity {
namespace {

std::string number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.4g", value);
  return out;
}

std::string whole(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.0f", value);
  return out;
}

std::string list_of(const std::vector<Point>& points, std::string (*text)(const Point&)) {
  std::string out;
  for (const Point& point : points) out += (out.empty() ? "" : ",") + text(point);
  return out;
}

void refuse_too_few(const std::vector<Point>& points) {
  if (points.size() < kFewestSizes) throw std::invalid_argument("a slope needs at least four sizes");
}

bool was_run(const Slope& slope, double size) {
  return std::any_of(slope.points.begin(), slope.points.end(),
                     [&](const Point& point) { return point.size == size; });
}

bool all_above_zero(const std::vector<Point>& points) {
  return std::all_of(points.begin(), points.end(), [](const Point& point) { return point.cost.median > 0; });
}

bool needs_extrapolation(const Slope& slope) {
  return slope.planned > 0 && !was_run(slope, slope.planned) && all_above_zero(slope.points);
}

}  // namespace

Spread compute_spread(std::vector<double> samples) {
  if (samples.empty()) throw std::invalid_argument("no samples");
  std::sort(samples.begin(), samples.end());
  std::size_t middle = samples.size() / 2;
  double median = samples.size() % 2 ? samples[middle] : (samples[middle - 1] + samples[middle]) / 2;
  return {.min = samples.front(), .median = median, .max = samples.back()};
}

double Fit::at(double size) const { return factor * std::pow(size, exponent); }

Fit fit(const std::vector<Point>& points) {
  refuse_too_few(points);
  double mean_x = 0;
  double mean_y = 0;
  for (std::size_t i = 0; i < points.size(); ++i) {
    if (i > 0 && points[i].size <= points[i - 1].size) throw std::invalid_argument("sizes are not strictly ascending");
    if (points[i].size <= 0 || points[i].cost.median <= 0) throw std::invalid_argument("a size or median is not positive");
    mean_x += std::log(points[i].size);
    mean_y += std::log(points[i].cost.median);
  }
  const auto count = static_cast<double>(points.size());
  mean_x /= count;
  mean_y /= count;
  double across = 0;
  double square = 0;
  for (const Point& point : points) {
    double x = std::log(point.size) - mean_x;
    across += x * (std::log(point.cost.median) - mean_y);
    square += x * x;
  }
  Fit out;
  out.exponent = across / square;
  out.factor = std::exp(mean_y - out.exponent * mean_x);
  return out;
}

std::string format_slope(const Slope& slope) {
  const std::vector<Point>& points = slope.points;
  refuse_too_few(points);
  std::string out = "slope " + slope.name + " by=" + slope.by;
  out += " sizes=" + list_of(points, [](const Point& point) { return whole(point.size); });
  out += " median=" + list_of(points, [](const Point& point) { return number(point.cost.median); });
  out += " min=" + list_of(points, [](const Point& point) { return number(point.cost.min); });
  out += " max=" + list_of(points, [](const Point& point) { return number(point.cost.max); });
  char exponent[32] = "none";
  if (all_above_zero(points)) std::snprintf(exponent, sizeof exponent, "%.2f", fit(points).exponent);
  out += std::string(" exponent=") + exponent + " unit=" + slope.unit;
  if (needs_extrapolation(slope)) {
    out += " extrapolated=" + whole(slope.planned) + ":" + number(fit(points).at(slope.planned));
  }
  return out;
}

std::string format_figure(const std::string& name, const std::string& where, const std::string& unit,
                          const Spread& cost) {
  return "figure " + name + " " + where + " median=" + number(cost.median) + " min=" + number(cost.min) +
         " max=" + number(cost.max) + " unit=" + unit;
}

std::string format_summary(const Slope& slope) {
  const Point& last = slope.points.back();
  std::string out = slope.name + "/" + slope.by + "@" + whole(last.size) + "=";
  return out + number(last.cost.median) + slope.unit;
}

void SlopeReport::add(const What& what, double size, std::vector<double> samples) {
  auto same = [&](const Slope& slope) { return slope.name == what.name && slope.by == what.by; };
  auto found = std::find_if(slopes_.begin(), slopes_.end(), same);
  if (found == slopes_.end()) {
    Slope fresh;
    fresh.name = what.name;
    fresh.by = what.by;
    fresh.unit = what.unit;
    fresh.planned = what.planned;
    found = slopes_.insert(slopes_.end(), fresh);
  }
  found->points.push_back({size, compute_spread(std::move(samples))});
}

void SlopeReport::print() const {
  for (const Slope& slope : slopes_) {
    if (slope.points.size() >= kFewestSizes) {
      std::printf("%s\n", format_slope(slope).c_str());
      continue;
    }
    for (const Point& point : slope.points) {
      std::string where = slope.by + "=" + whole(point.size);
      std::printf("%s\n", format_figure(slope.name, where, slope.unit, point.cost).c_str());
    }
  }
}

void SlopeReport::print_last(const char* word) const {
  std::printf("%s", word);
  for (const Slope& slope : slopes_) std::printf(" %s", format_summary(slope).c_str());
  std::printf("\n");
}

}  // namespace myrtlecroft::capacity
