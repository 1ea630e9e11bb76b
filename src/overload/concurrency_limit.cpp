#include "overload/concurrency_limit.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

constexpr double kLimitStep = 0.25;  // requests, each time the timer expires
// With fewer runnable threads per core, the core utilization shows whether cores are idle.
constexpr double kMaxIdleThreadsPerCore = 1.2;
// With more runnable threads per core, the limit falls.
constexpr double kContendedThreadsPerCore = 1.5;
constexpr double kSurvivableShare = 0.7;  // of the concurrency that the server survives, as a margin
constexpr Nanos kContentionTimeConstant = 250 * kMs;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ServiceConfig& config)
    : config_(config), limit_(config.cores), contention_(kContentionTimeConstant) {}

void ConcurrencyLimit::begin_running(Request& request, Nanos now) {
  request.occupies_core = true;
  request.interval_start = now;
  ++running_;
}

void ConcurrencyLimit::end_running(Request& request, Nanos now) {
  if (!request.occupies_core) return;
  request.occupies_core = false;
  request.core_time += now - request.interval_start;
  --running_;
}

double ConcurrencyLimit::warm_up_progress(Nanos now) const {
  if (!config_.warming_up || config_.warm_up_time <= 0) return 1;
  double elapsed_share = seconds(now - started_) / seconds(config_.warm_up_time);
  return std::min(1.0, config_.warm_up_initial_speed + (1 - config_.warm_up_initial_speed) * elapsed_share);
}

double ConcurrencyLimit::contention(Nanos now) const { return contention_.mean(config_.cores, now); }

double ConcurrencyLimit::max_concurrency(Nanos now) const {
  double per_core = 1 + (config_.max_running_per_core - 1) * warm_up_progress(now);
  return std::max(1.0, kSurvivableShare * config_.cores * per_core);
}

void ConcurrencyLimit::adjust(const Gauges& gauges, bool work_is_queued, Nanos now) {
  if (gauges.runnable_threads) contention_.add(*gauges.runnable_threads, now);
  double threads = contention(now);
  bool cores_are_idle = gauges.core_utilization ? *gauges.core_utilization < kBusyCoreUtilization &&
                                                      threads < kMaxIdleThreadsPerCore * config_.cores
                                                : threads < config_.cores;
  if (work_is_queued && running_ + 1 > limit_ && cores_are_idle) limit_ += kLimitStep;
  if (threads > kContendedThreadsPerCore * config_.cores) limit_ -= kLimitStep;
  double min_limit = static_cast<double>(config_.cores);
  limit_ = std::clamp(limit_, min_limit, std::max(max_concurrency(now), min_limit));
}

}  // namespace myrtlecroft::overload
