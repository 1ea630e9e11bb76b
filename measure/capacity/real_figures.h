// The figures of one capacity measurement over real sockets, and the `measured` line that reports them.
#pragma once

#include <string>
#include <vector>

#include "capacity/real_fleet.h"

namespace myrtlecroft::capacity {

// Returns the smallest value that at least `share` (0 to 1) of the values do not exceed; -1 without values.
double quantile(std::vector<double> values, double share);
// The machine's load average over the last minute; -1 when it can't be read.
double load_average();

// Measures wall time from its construction.
class Stopwatch {
 public:
  double seconds() const;

 private:
  std::int64_t start_ns_ = now_ns();
  static std::int64_t now_ns();
};

// A figure of -1 was not measured.
struct RealFigures {
  double change_p50_ms = -1;
  double change_p99_ms = -1;
  double change_bytes_per_caller = -1;
  double kb_per_caller = -1;
  double reconnect_s = -1;
  double node_bytes_s = -1;
  double node_core_share = -1;
  double control_cpu_reports = -1;
  int lost = 0;
  int doubled = -1;
  int half_applied = 0;
  double burst40_p99_ms = -1;
  double burst380_p99_ms = -1;
  double nodes_answer_ms = -1;

  // Sets the change_* figures from the samples of single changes.
  void set_change_figures(const std::vector<double>& in_force_ms, const std::vector<double>& bytes);
  // Prints and counts a part of the plan that failed.
  void record_failure(const std::string& failure);
  // Failed parts, plus lost changes, half-applied sets and doubled owners. 0: the measurement succeeded.
  int failures() const { return failures_ + lost + half_applied + (doubled > 0 ? doubled : 0); }
  void print(const FleetPlan& plan) const;

 private:
  int failures_ = 0;
};

}  // namespace myrtlecroft::capacity
