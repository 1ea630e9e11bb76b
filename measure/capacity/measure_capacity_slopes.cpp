// What the control service costs in process, as slopes over four sizes and more:
// measure_capacity_slopes [--before] [--subsetting SIZE] [--most-seconds SECONDS].
#include <CLI/CLI.hpp>
#include <cstdio>

#include "control_slopes.h"
#include "cost.h"

int main(int count, char** words) {
  using namespace myrtlecroft::capacity;
  CLI::App app{"What the control service costs in process, by the size of the fleet"};
  ControlOptions control;
  bool before = false;
  app.add_flag("--before", before, "The version measured is the one before: the last line says so");
  app.add_option("--subsetting", control.subsetting, "Servers that a caller uses of each service");
  app.add_option("--most-seconds", control.most_seconds, "That one size may take, beyond the first four");
  CLI11_PARSE(app, count, words);
  double wall = wall_seconds();
  std::printf("times are of the processor, by this thread's clock; memory is what malloc counts\n");
  Sheet sheet;
  control_slopes(control, sheet);
  sheet.print();
  std::printf("whole run: %.0f s of the wall, %.0f s of the processor\n", wall_seconds() - wall,
              thread_cpu_seconds());
  sheet.print_last(before ? "slopes_before" : "slopes");
}
