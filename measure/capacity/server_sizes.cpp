#include "server_sizes.h"

#include <cstdio>
#include <stdexcept>

#include "server_rig.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kTenants[] = {1'000, 10'000, 100'000, static_cast<int>(kPlannedTenants)};
constexpr int kRequestClasses[] = {3, 30, 100, 300};
constexpr int kFewRequestClasses = 3;
constexpr int kFewTenants = 1'000;
constexpr int kRuns = 3;
constexpr Nanos kIdleTime = 400 * kMs;
constexpr Nanos kLoadTime = 600 * kMs;
constexpr double kRequestsPerSecond = 1'000;

double ms(Nanos time) { return static_cast<double>(time) / static_cast<double>(kMs); }

// The figures of one size, with one value for each run.
struct Samples {
  std::vector<double> start_ms;
  std::vector<double> rss_mb;
  std::vector<double> idle_core_percent;
  std::vector<double> cpu_us;  // per request, without the server's idle use
  std::vector<double> reload_ms;
  std::vector<double> reload_gap_ms;
  std::vector<double> gap_without_reload_ms;
  std::vector<double> rss_after_reload_mb;  // resident memory after the reload
  std::vector<double> peak_mb;              // peak resident memory up to the end of the reload
  int offered = 0;
  int completed = 0;
};

void wait(net::Loop& loop, Nanos time) {
  net::Timer timer(loop.base(), [&] { loop.stop(); });
  timer.set(time);
  loop.run();
}

Nanos measure_idle(net::Loop& loop, const ServerRig& server) {
  Nanos before = server.cpu_time();
  wait(loop, kIdleTime);
  return server.cpu_time() - before;
}

void measure_requests(net::Loop& loop, ServerRig& server, Samples& samples) {
  double idle_share = ms(measure_idle(loop, server)) / ms(kIdleTime);
  Nanos cpu_before = server.cpu_time();
  Nanos begun = loop.now();
  LoadResult result = server.load().run({.per_second = kRequestsPerSecond, .duration = kLoadTime});
  double used = ms(server.cpu_time() - cpu_before) - idle_share * ms(loop.now() - begun);
  samples.offered += result.offered;
  samples.completed += static_cast<int>(result.completed_us.size());
  samples.idle_core_percent.push_back(100 * idle_share);
  samples.cpu_us.push_back(1e3 * used / result.offered);
}

void measure_reload(ServerRig& server, Samples& samples) {
  ReloadResult result = server.reload();
  if (!result.reloaded) throw std::runtime_error("a reload did not complete within the probe's run");
  samples.reload_ms.push_back(ms(result.reload_time));
  samples.reload_gap_ms.push_back(ms(result.gap_during_reload));
  samples.gap_without_reload_ms.push_back(ms(result.gap_without_reload));
  samples.rss_after_reload_mb.push_back(server.rss_mb());
  samples.peak_mb.push_back(server.peak_rss_mb());
}

void run_once(ConfigSizes sizes, bool with_reload, Samples& samples) {
  net::Loop loop;
  ServerRig server(loop, sizes);
  Nanos start_time = server.start();
  if (start_time < 0) throw std::runtime_error("the server does not answer");
  samples.start_ms.push_back(ms(start_time));
  samples.rss_mb.push_back(server.rss_mb());
  measure_requests(loop, server, samples);
  if (with_reload) measure_reload(server, samples);
}

void add_common(SlopeReport& slope_report, const char* by, int size, const Samples& samples) {
  std::printf("%s %d: offered %d completed %d\n", by, size, samples.offered, samples.completed);
  slope_report.add({"server_start", by, "ms"}, size, samples.start_ms);
  slope_report.add({"server_rss", by, "MB"}, size, samples.rss_mb);
  slope_report.add({"server_cpu_per_request", by, "us"}, size, samples.cpu_us);
  slope_report.add({"server_idle_core", by, "percent"}, size, samples.idle_core_percent);
}

void add_reload(SlopeReport& slope_report, int size, const Samples& samples) {
  slope_report.add({"server_reload", "tenants", "ms"}, size, samples.reload_ms);
  slope_report.add({"server_loop_stands", "tenants", "ms"}, size, samples.reload_gap_ms);
  slope_report.add({"server_largest_gap_without_reload", "tenants", "ms"}, size,
                   samples.gap_without_reload_ms);
  slope_report.add({"server_rss_after_reload", "tenants", "MB"}, size, samples.rss_after_reload_mb);
  slope_report.add({"server_rss_peak", "tenants", "MB"}, size, samples.peak_mb);
}

PlannedSizeCost summarize(const Samples& smallest, const Samples& largest) {
  PlannedSizeCost out;
  out.read_ms = compute_spread(largest.start_ms).median - compute_spread(smallest.start_ms).median;
  out.reload_ms = compute_spread(largest.reload_ms).median;
  out.reload_gap_ms = compute_spread(largest.reload_gap_ms).median;
  out.rss_mb = compute_spread(largest.rss_mb).median;
  out.cpu_us_per_request = compute_spread(largest.cpu_us).median;
  return out;
}

}  // namespace

PlannedSizeCost measure_sizes(SlopeReport& slope_report) {
  std::vector<Samples> by_tenants(std::size(kTenants));
  std::vector<Samples> by_request_classes(std::size(kRequestClasses));
  for (int run = 0; run < kRuns; ++run) {
    for (std::size_t i = 0; i < by_tenants.size(); ++i) {
      run_once({.tenants = kTenants[i], .request_classes = kFewRequestClasses}, true, by_tenants[i]);
    }
    for (std::size_t i = 0; i < by_request_classes.size(); ++i) {
      run_once({.tenants = kFewTenants, .request_classes = kRequestClasses[i]}, false, by_request_classes[i]);
    }
  }
  for (std::size_t i = 0; i < by_tenants.size(); ++i) {
    add_common(slope_report, "tenants", kTenants[i], by_tenants[i]);
    add_reload(slope_report, kTenants[i], by_tenants[i]);
  }
  for (std::size_t i = 0; i < by_request_classes.size(); ++i)
    add_common(slope_report, "groups", kRequestClasses[i], by_request_classes[i]);
  return summarize(by_tenants.front(), by_tenants.back());
}

}  // namespace myrtlecroft::capacity
