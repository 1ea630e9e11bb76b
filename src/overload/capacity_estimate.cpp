#include "overload/capacity_estimate.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

// Share of the latency objective that the expected time of a request may take.
constexpr double kUsableObjectiveShare = 0.7;
// Ratio of latency objective to core time that is assumed before any run was measured.
constexpr double kInitialObjectiveToCoreTime = 8;
constexpr double kMinQueueShare = 0.4;  // share of the queue open to requests of almost no value
constexpr double kTenantRatePrior = 4;  // requests within its quota that a tenant is assumed to have sent
// A server whose runs take more than this many times their usual core time is itself slow.
constexpr double kSlowdownFactor = 1.4;
constexpr Nanos kTenantRateTimeConstant = 2 * kSecond;
constexpr Nanos kRecentSpeedTimeConstant = 2 * kSecond;
constexpr Nanos kUsualSpeedTimeConstant = 60 * kSecond;

}  // namespace

CapacityEstimate::CapacityEstimate(const ServiceConfig& config, const ConcurrencyLimit& concurrency)
    : config_(config),
      concurrency_(concurrency),
      classes_(config.request_classes.size()),
      tenant_rates_(config.tenants.size(), DecayingSum(kTenantRateTimeConstant)),
      recent_uncontended_time_(kRecentSpeedTimeConstant),
      usual_uncontended_time_(kUsualSpeedTimeConstant) {}

void CapacityEstimate::request_received(const Request& request, Nanos now) {
  received_.add(1, now);
  if (request.tenant) tenant_rates_[tenant_of(request)].add(1, now);
}

void CapacityEstimate::record_run(const Request& request, Nanos now) {
  double core_seconds = seconds(request.core_time);
  ClassEstimate& estimate = classes_[class_of(request)];
  estimate.core_time.add(core_seconds, now);
  estimate.run_time.add(seconds(now - request.started), now);
  estimate.calls.add(request.calls, now);
  core_time_.add(core_seconds, now);
  double uncontended_seconds =
      core_seconds * std::min(1.0, config_.cores / std::max(1.0, concurrency_.contention(now)));
  recent_uncontended_time_.add(uncontended_seconds, now);
  usual_uncontended_time_.add(uncontended_seconds, now);
}

double CapacityEstimate::core_time(Nanos now) const {
  return core_time_.mean(initial_core_time(0, now), now);
}

double CapacityEstimate::calls_of(const Request& request, Nanos now) const {
  return classes_[class_of(request)].calls.mean(1, now);
}

double CapacityEstimate::throughput(Nanos now) const { return concurrency_.limit() / core_time(now); }

double CapacityEstimate::max_position(const Request& request, int window, double call_wait, Nanos now) const {
  std::size_t own_class = class_of(request);
  double own_value = value(own_class, now);
  double rate = throughput(now);
  double max_value = 0;
  double position = window;
  for (std::size_t other_class = 0; other_class < classes_.size(); ++other_class) {
    double other_value = value(other_class, now);
    max_value = std::max(max_value, other_value);
    if (other_value < own_value) continue;
    double wait =
        other_class == own_class
            ? max_queue_wait(other_class, request.useful_until - now, now) - call_wait
            : max_queue_wait(other_class, config_.request_classes[other_class].latency_objective, now);
    position = std::min(position, rate * wait);
  }
  double relative_value = own_value / max_value * tenant_factor(request, now);
  return position * (kMinQueueShare + (1 - kMinQueueShare) * relative_value);
}

double CapacityEstimate::max_queue(int window, Nanos now) const {
  double positions = 1;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    double wait = max_queue_wait(index, config_.request_classes[index].latency_objective, now);
    positions = std::max(positions, throughput(now) * wait);
  }
  return std::min(positions, 1.0 * window);
}

bool CapacityEstimate::rejects_more_than(double share, Nanos now) const {
  return rejected_.read(now) > share * received_.read(now);
}

bool CapacityEstimate::runs_at_usual_speed(Nanos now) const {
  return recent_uncontended_time_.mean(0, now) < kSlowdownFactor * usual_uncontended_time_.mean(0, now);
}

std::size_t CapacityEstimate::class_of(const Request& request) const {
  return static_cast<std::size_t>(request.request_class - config_.request_classes.data());
}

std::size_t CapacityEstimate::tenant_of(const Request& request) const {
  return static_cast<std::size_t>(request.tenant - config_.tenants.data());
}

double CapacityEstimate::core_time(std::size_t request_class, Nanos now) const {
  return classes_[request_class].core_time.mean(initial_core_time(request_class, now), now);
}

double CapacityEstimate::run_time(std::size_t request_class, Nanos now) const {
  return classes_[request_class].run_time.mean(initial_core_time(request_class, now), now);
}

double CapacityEstimate::initial_core_time(std::size_t request_class, Nanos now) const {
  Nanos objective = config_.request_classes[request_class].latency_objective;
  return seconds(objective) / kInitialObjectiveToCoreTime / concurrency_.warm_up_progress(now);
}

// The priority weight of a request for each second of its core time.
double CapacityEstimate::value(std::size_t request_class, Nanos now) const {
  double weight = config_.request_classes[request_class].priority_weight;
  return weight / (config_.weight_is_per_core_second ? 1 : core_time(request_class, now));
}

// The factor by which a tenant's excess over its quota lowers the value of its requests. Which of the
// requests exceed the quota is unknown, so each has the mean value, weighted by the quota's share of the
// tenant's rate.
double CapacityEstimate::tenant_factor(const Request& request, Nanos now) const {
  if (!request.tenant || request.tenant->quota_per_s <= 0) return 1;
  double quota = request.tenant->quota_per_s / config_.servers;
  double span = seconds(kTenantRateTimeConstant);
  double sent = tenant_rates_[tenant_of(request)].read(now);
  double rate = (sent + kTenantRatePrior) / (span + kTenantRatePrior / quota);
  double share_within_quota = std::min(1.0, quota / rate);
  return share_within_quota + (1 - share_within_quota) * config_.over_quota_weight;
}

// Seconds that a request of this class may wait in the queue and still be answered within `time`.
double CapacityEstimate::max_queue_wait(std::size_t request_class, Nanos time, Nanos now) const {
  return kUsableObjectiveShare * seconds(time) - run_time(request_class, now);
}

}  // namespace myrtlecroft::overload
