// Measures the cost of the control service in process, as slopes over four or more sizes:
// measure_capacity_slopes [--before] [--subsetting SIZE] [--most-seconds SECONDS].
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "control_slopes.h"
#include "cost.h"
#include "log_slopes.h"

namespace {

using namespace myrtlecroft::capacity;

void measure(const ControlOptions& control, const LogOptions& log, bool before) {
  double wall = wall_seconds();
  std::printf(
      "times are of the processor, by this thread's clock, but for those with wall in the name; memory "
      "is what malloc counts\n");
  SlopeReport slope_report;
  measure_control_slopes(control, slope_report);
  measure_log_slopes(log, slope_report);
  slope_report.print();
  std::printf("whole run: %.0f s of the wall, %.0f s of the processor\n", wall_seconds() - wall,
              thread_cpu_seconds());
  slope_report.print_summary(before ? "slopes_before" : "slopes");
}

}  // namespace

int main(int count, char** words) {
  CLI::App app{"Measures the cost of the control service in process, by the size of the fleet"};
  ControlOptions control;
  bool before = false;
  app.add_flag("--before", before, "Labels the last line as figures of the previous version");
  LogOptions log;
  app.add_option("--subsetting", control.subset_size,
                 "Servers of each service in a caller's subset; 0: no subsetting");
  app.add_option("--most-seconds", control.max_seconds, "Wall time limit of one size, beyond the first four");
  CLI11_PARSE(app, count, words);
  log.subset_size = control.subset_size;
  log.max_seconds = control.max_seconds;
  try {
    measure(control, log, before);
  } catch (const std::exception& error) {
    std::printf("failed: %s\n", error.what());
    return 1;
  }
}
