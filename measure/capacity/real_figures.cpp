#include "capacity/real_figures.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace myrtlecroft::capacity {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  double index = std::ceil(share * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(0.0, index))];
}

double load_average() {
  double out = -1;
  return ::getloadavg(&out, 1) == 1 ? out : -1;
}

std::int64_t Stopwatch::now_ns() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

double Stopwatch::seconds() const { return static_cast<double>(now_ns() - start_ns_) / 1e9; }

void RealFigures::set_change_figures(const std::vector<double>& in_force_ms,
                                     const std::vector<double>& bytes) {
  change_p50_ms = quantile(in_force_ms, 0.5);
  change_p99_ms = quantile(in_force_ms, 0.99);
  change_bytes_per_caller = quantile(bytes, 0.5);
}

void RealFigures::record_failure(const std::string& failure) {
  ++failures_;
  std::printf("FAULT: %s\n", failure.c_str());
}

void RealFigures::print(const FleetPlan& plan) const {
  std::printf(
      "measured capacity-real servers=%d callers=%d services=%d subsetting=%d change_p50_ms=%.0f "
      "change_p99_ms=%.0f "
      "change_bytes_per_caller=%.0f kb_per_caller=%.1f reconnect_s=%.2f node_bytes_s=%.0f "
      "node_core_share=%.6f "
      "control_cpu_reports=%.3f lost=%d doubled=%d half_applied=%d burst40_p99_ms=%.0f burst380_p99_ms=%.0f "
      "nodes_answer_ms=%.1f faults=%d\n",
      plan.servers, plan.callers, plan.services, plan.subset_size, change_p50_ms, change_p99_ms,
      change_bytes_per_caller, kb_per_caller, reconnect_s, node_bytes_s, node_core_share, control_cpu_reports,
      lost, doubled, half_applied, burst40_p99_ms, burst380_p99_ms, nodes_answer_ms, failures_);
}

}  // namespace myrtlecroft::capacity
