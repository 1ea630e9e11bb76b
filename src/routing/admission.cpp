// Adjusts the share of the load to shed and distributes it over the request classes.
#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace myrtlecroft::routing {
namespace {

// Rejected shares of the received requests: the shed share grows above the first and falls below the second.
// It stays unchanged in between, because a server learns its capacity from its rejections and would
// overestimate it without any.
constexpr double kShedMoreAbove = 0.4;
constexpr double kShedLessBelow = 0.15;
constexpr double kMinReceived = 10;               // recent requests over the fleet; fewer are not significant
constexpr std::uint32_t kFullyAdmitted = 10'000;  // admitted shares are in ten-thousandths
// Published shares are rounded to multiples of this, because each change is sent to all proxies.
constexpr std::uint32_t kAdmittedStep = 250;
// Limits the factor between received and offered load to 100.
constexpr double kMinAdmittedForScaling = 0.01;
constexpr double kMaxStepSeconds = 1;  // limits the change after a pause of this process

bool is_counted(const ServerStatus& server) { return server.in_service() && server.last_report_at > 0; }

}  // namespace

bool Admission::step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now) {
  const Inputs inputs{fleet, registry, now};
  double elapsed = static_cast<double>(now - last_step_at_) / static_cast<double>(kSecond);
  adjust_shed(inputs, has_stepped_ ? std::min(kMaxStepSeconds, elapsed) : 0);
  last_step_at_ = now;
  has_stepped_ = true;
  std::vector<std::uint32_t> next = compute_shares(inputs);
  bool changed = next != admitted_;
  admitted_ = std::move(next);
  return changed;
}

void Admission::adjust_shed(const Inputs& inputs, double elapsed_seconds) {
  double received = 0;
  double rejected = 0;
  for (const ServerStatus& server : inputs.registry.all()) {
    if (!is_counted(server)) continue;
    received += server.reported.received.read(inputs.now);
    rejected += server.reported.rejected.read(inputs.now);
  }
  const double step = inputs.fleet.bounds.max_shed_change_per_second * elapsed_seconds;
  if (received < kMinReceived) {
    shed_ = std::max(0.0, shed_ - step);
    return;
  }
  double share = rejected / received;
  double direction = share > kShedMoreAbove ? 1 : share < kShedLessBelow ? -1 : 0;
  shed_ = std::clamp(shed_ + direction * step, 0.0, 1.0);
}

// Sheds request classes in ascending order of priority weight until the share to shed is reached.
std::vector<std::uint32_t> Admission::compute_shares(const Inputs& inputs) {
  const std::vector<fleet::RequestClass>& request_classes = inputs.fleet.request_classes;
  const double min_admitted = inputs.fleet.bounds.min_admitted;
  std::vector<std::uint32_t> out(request_classes.size(), kFullyAdmitted);
  if (shed_ <= 0) return out;
  sort_classes_by_priority(inputs);
  std::vector<double> offered = estimate_offered_load(inputs);
  double to_shed = shed_ * std::accumulate(offered.begin(), offered.end(), 0.0);
  for (std::size_t at : classes_by_priority_) {
    if (request_classes[at].idempotency == Idempotency::kKeyed || offered[at] <= 0) continue;
    double share = std::clamp(1 - to_shed / offered[at], min_admitted, 1.0);
    to_shed = std::max(0.0, to_shed - (1 - share) * offered[at]);
    out[at] = std::max(
        static_cast<std::uint32_t>(std::lround(share * kFullyAdmitted / kAdmittedStep)) * kAdmittedStep,
        static_cast<std::uint32_t>(std::lround(min_admitted * kFullyAdmitted)));
  }
  return out;
}

// Estimates the load of each class without shedding: the requests received by servers divided by the share
// that proxies admit.
std::vector<double> Admission::estimate_offered_load(const Inputs& inputs) const {
  std::vector<double> offered(inputs.fleet.request_classes.size());
  for (const ServerStatus& server : inputs.registry.all()) {
    if (!is_counted(server)) continue;
    double received = server.reported.received.read(inputs.now);
    for (const RequestClassShare& one : server.request_class_shares) {
      if (one.request_class >= 0)
        offered[static_cast<std::size_t>(one.request_class)] += received * one.share;
    }
  }
  for (std::size_t at = 0; at < offered.size(); ++at) {
    double admitted = at < admitted_.size() ? static_cast<double>(admitted_[at]) / kFullyAdmitted : 1;
    offered[at] /= std::max(admitted, kMinAdmittedForScaling);
  }
  return offered;
}

void Admission::sort_classes_by_priority(const Inputs& inputs) {
  if (layout_generation_ == inputs.registry.layout_generation()) return;
  layout_generation_ = inputs.registry.layout_generation();
  const std::vector<fleet::RequestClass>& request_classes = inputs.fleet.request_classes;
  classes_by_priority_.resize(request_classes.size());
  std::iota(classes_by_priority_.begin(), classes_by_priority_.end(), 0);
  std::stable_sort(classes_by_priority_.begin(), classes_by_priority_.end(),
                   [&](std::size_t one, std::size_t other) {
                     return request_classes[one].priority_weight < request_classes[other].priority_weight;
                   });
}

}  // namespace myrtlecroft::routing
