// The figures of one capacity measurement on real sockets, and its last line.
#pragma once

#include <string>
#include <vector>

#include "capacity/real_fleet.h"

namespace myrtlecroft::capacity {

// The smallest value that at least such a share of the values is not above; -1 where there are none.
double quantile(std::vector<double> values, double share);
// Of the machine, over the last minute.
double load_average();

class Stopwatch {
 public:
  double seconds() const;

 private:
  std::int64_t since_ns_ = now_ns();
  static std::int64_t now_ns();
};

// -1 where it was not measured.
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

  void take_changes(const std::vector<double>& in_force_ms, const std::vector<double>& bytes);
  // Something of the plan did not come to be; told now and counted.
  void fault(const std::string& what);
  int faults() const { return faults_ + lost + half_applied + (doubled > 0 ? doubled : 0); }
  void print(const FleetPlan& plan) const;

 private:
  int faults_ = 0;
};

}  // namespace myrtlecroft::capacity
