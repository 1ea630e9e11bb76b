#include "overload/capacity_estimate.h"

#include <algorithm>

#include "overload/units.h"

namespace myrtlecroft::overload {
namespace {

constexpr double kUsedObjective = 0.7;  // of the latency objective that a request may be expected to take
constexpr double kObjectivePerCoreTime = 8;  // first guess: latency objective over core time
constexpr double kMinQueueShare = 0.4;       // of the queue, for requests of next to no value
constexpr double kQuotaGuess = 4;            // requests within its quota that a tenant is taken to have sent
constexpr double kUsualFactor = 1.4;         // times its usual core time, and a server is slow for itself
constexpr Nanos kTenantRecent = 2 * kSecond;
constexpr Nanos kSpeedRecent = 2 * kSecond;
constexpr Nanos kSpeedUsual = 60 * kSecond;

}  // namespace

CapacityEstimate::CapacityEstimate(const ServiceConfig& config, const ConcurrencyLimit& concurrency)
    : config_(config),
      concurrency_(concurrency),
      classes_(config.request_classes.size()),
      tenant_rates_(config.tenants.size(), DecayingSum(kTenantRecent)),
      current_speed_(kSpeedRecent),
      usual_speed_(kSpeedUsual) {}

void CapacityEstimate::request_received(const Request& request, Nanos now) {
  received_.add(1, now);
  if (request.tenant) tenant_rates_[tenant_of(request)].add(1, now);
}

void CapacityEstimate::run_measured(const Request& request, Nanos now) {
  double spent = seconds(request.core_time);
  ClassEstimate& estimate = classes_[class_of(request)];
  estimate.core_time.add(spent, now);
  estimate.run_time.add(seconds(now - request.started), now);
  estimate.calls.add(request.calls, now);
  core_time_.add(spent, now);
  double alone = spent * std::min(1.0, config_.cores / std::max(1.0, concurrency_.contention(now)));
  current_speed_.add(alone, now);
  usual_speed_.add(alone, now);
}

double CapacityEstimate::core_time(Nanos now) const { return core_time_.mean(core_time_guess(0, now), now); }

double CapacityEstimate::calls_of(const Request& request, Nanos now) const {
  return classes_[class_of(request)].calls.mean(1, now);
}

double CapacityEstimate::throughput(Nanos now) const { return concurrency_.limit() / core_time(now); }

double CapacityEstimate::max_position(const Request& request, int window, double call_wait, Nanos now) const {
  std::size_t own = class_of(request);
  double own_value = value(own, now);
  double rate = throughput(now);
  double max_value = 0;
  double position = window;
  for (std::size_t other = 0; other < classes_.size(); ++other) {
    double other_value = value(other, now);
    max_value = std::max(max_value, other_value);
    if (other_value < own_value) continue;
    double wait = other == own ? time_to_queue(other, request.useful_until - now, now) - call_wait
                               : time_to_queue(other, config_.request_classes[other].latency_objective, now);
    position = std::min(position, rate * wait);
  }
  double relative_value = own_value / max_value * tenant_factor(request, now);
  return position * (kMinQueueShare + (1 - kMinQueueShare) * relative_value);
}

double CapacityEstimate::max_queue(int window, Nanos now) const {
  double positions = 1;
  for (std::size_t one = 0; one < classes_.size(); ++one) {
    double wait = time_to_queue(one, config_.request_classes[one].latency_objective, now);
    positions = std::max(positions, throughput(now) * wait);
  }
  return std::min(positions, 1.0 * window);
}

bool CapacityEstimate::rejects_more_than(double share, Nanos now) const {
  return rejected_.read(now) > share * received_.read(now);
}

bool CapacityEstimate::runs_at_usual_speed(Nanos now) const {
  return current_speed_.mean(0, now) < kUsualFactor * usual_speed_.mean(0, now);
}

std::size_t CapacityEstimate::class_of(const Request& request) const {
  return static_cast<std::size_t>(request.request_class - config_.request_classes.data());
}

std::size_t CapacityEstimate::tenant_of(const Request& request) const {
  return static_cast<std::size_t>(request.tenant - config_.tenants.data());
}

double CapacityEstimate::core_time(std::size_t request_class, Nanos now) const {
  return classes_[request_class].core_time.mean(core_time_guess(request_class, now), now);
}

double CapacityEstimate::run_time(std::size_t request_class, Nanos now) const {
  return classes_[request_class].run_time.mean(core_time_guess(request_class, now), now);
}

double CapacityEstimate::core_time_guess(std::size_t request_class, Nanos now) const {
  Nanos objective = config_.request_classes[request_class].latency_objective;
  return seconds(objective) / kObjectivePerCoreTime / concurrency_.warm_up_progress(now);
}

// Priority weight for the core time that it takes.
double CapacityEstimate::value(std::size_t request_class, Nanos now) const {
  double weight = config_.request_classes[request_class].priority_weight;
  return weight / (config_.weight_is_per_core_second ? 1 : core_time(request_class, now));
}

// Which of a tenant's requests are beyond its quota is not known here: each counts as much as they do on
// average, by the quota's part of the tenant's rate.
double CapacityEstimate::tenant_factor(const Request& request, Nanos now) const {
  if (!request.tenant || request.tenant->quota_per_s <= 0) return 1;
  double quota = request.tenant->quota_per_s / config_.servers;
  double over = seconds(kTenantRecent);
  double sent = tenant_rates_[tenant_of(request)].read(now);
  double rate = (sent + kQuotaGuess) / (over + kQuotaGuess / quota);
  double within = std::min(1.0, quota / rate);
  return within + (1 - within) * config_.over_quota_weight;
}

// Seconds that a request of this class may wait in the queue for an answer within `time`.
double CapacityEstimate::time_to_queue(std::size_t request_class, Nanos time, Nanos now) const {
  return kUsedObjective * seconds(time) - run_time(request_class, now);
}

}  // namespace myrtlecroft::overload
