// Measures the cost of one server without its engine: latency added to a request, memory, CPU time, and the
// time to read settings with the planned number of tenants.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "server_latency.h"
#include "server_relay.h"
#include "server_sizes.h"

namespace {

using namespace myrtlecroft::capacity;

void measure() {
  SlopeReport slope_report;
  AddedLatency added = measure_added_latency(slope_report);
  PlannedSizeCost size = measure_sizes(slope_report);
  slope_report.print();
  std::printf(
      "server added_p50_us=%.0f added_p99_us=%.0f added_p99_of_a_stretch_us=%.0f tenants_read_ms=%.0f "
      "tenants_reload_ms=%.0f "
      "loop_stands_ms=%.0f rss_mb=%.1f cpu_us_per_request=%.1f\n",
      added.p50_us, added.p99_us, added.median_interval_p99_us, size.read_ms, size.reload_ms,
      size.reload_gap_ms, size.rss_mb, size.cpu_us_per_request);
}

}  // namespace

// The measurement starts this program a second time as `relay LISTEN TO` to run the bare relay.
int main(int count, char** words) {
  if (count == 4 && std::strcmp(words[1], "relay") == 0) {
    run_bare_relay(static_cast<std::uint16_t>(std::atoi(words[2])),
                   static_cast<std::uint16_t>(std::atoi(words[3])));
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    measure();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "not measured: %s\n", error.what());
    return 1;
  }
  return 0;
}
