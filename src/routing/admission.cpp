// How much is shed, and from which request classes.
#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace myrtlecroft::routing {
namespace {

// Between these shares of rejections nothing is changed: a server learns its capacity from what it rejects,
// and with no rejections it would seem to have more.
constexpr double kManyRejected = 0.4;
constexpr double kFewRejected = 0.15;
constexpr double kMinReceived = 10;  // requests lately, over the fleet; fewer prove nothing
constexpr std::uint32_t kAll = 10'000;
constexpr std::uint32_t kStep =
    250;  // shares are published in steps of this: each change is sent to all proxies
constexpr double kMinAdmittedKnown = 0.01;  // what is received is not scaled up by more than one over this
constexpr double kMaxStepSeconds = 1;

bool counts(const ServerStatus& server) { return server.in_service() && server.last_report_at > 0; }

}  // namespace

bool Admission::step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now) {
  const Inputs inputs{fleet, registry, now};
  double passed = static_cast<double>(now - last_step_at_) / static_cast<double>(kSecond);
  adjust_shed(inputs, stepped_ ? std::min(kMaxStepSeconds, passed) : 0);
  last_step_at_ = now;
  stepped_ = true;
  std::vector<std::uint32_t> next = shares(inputs);
  bool changed = next != admitted_;
  admitted_ = std::move(next);
  return changed;
}

void Admission::adjust_shed(const Inputs& inputs, double passed_seconds) {
  double received = 0;
  double rejected = 0;
  for (const ServerStatus& server : inputs.registry.all()) {
    if (!counts(server)) continue;
    received += server.reported.received.read(inputs.now);
    rejected += server.reported.rejected.read(inputs.now);
  }
  const double step = inputs.fleet.bounds.max_shed_change_per_second * passed_seconds;
  if (received < kMinReceived) {
    shed_ = std::max(0.0, shed_ - step);
    return;
  }
  double share = rejected / received;
  double direction = share > kManyRejected ? 1 : share < kFewRejected ? -1 : 0;
  shed_ = std::clamp(shed_ + direction * step, 0.0, 1.0);
}

// From the class of the lowest priority upward, until the share to shed is reached.
std::vector<std::uint32_t> Admission::shares(const Inputs& inputs) {
  const std::vector<fleet::RequestClass>& request_classes = inputs.fleet.request_classes;
  const double min_admitted = inputs.fleet.bounds.min_admitted;
  std::vector<std::uint32_t> out(request_classes.size(), kAll);
  if (shed_ <= 0) return out;
  order_by_priority(inputs);
  std::vector<double> offered = offered_by_class(inputs);
  double to_shed = shed_ * std::accumulate(offered.begin(), offered.end(), 0.0);
  for (std::size_t at : order_) {
    if (request_classes[at].idempotency == Idempotency::kKeyed || offered[at] <= 0) continue;
    double share = std::clamp(1 - to_shed / offered[at], min_admitted, 1.0);
    to_shed = std::max(0.0, to_shed - (1 - share) * offered[at]);
    out[at] = std::max(static_cast<std::uint32_t>(std::lround(share * kAll / kStep)) * kStep,
                       static_cast<std::uint32_t>(std::lround(min_admitted * kAll)));
  }
  return out;
}

// What each class would send if nothing were shed: what servers receive, over what proxies admit.
std::vector<double> Admission::offered_by_class(const Inputs& inputs) const {
  std::vector<double> offered(inputs.fleet.request_classes.size());
  for (const ServerStatus& server : inputs.registry.all()) {
    if (!counts(server)) continue;
    double received = server.reported.received.read(inputs.now);
    for (const RequestClassShare& one : server.request_class_shares) {
      if (one.request_class >= 0)
        offered[static_cast<std::size_t>(one.request_class)] += received * one.share;
    }
  }
  for (std::size_t at = 0; at < offered.size(); ++at) {
    double admitted = at < admitted_.size() ? static_cast<double>(admitted_[at]) / kAll : 1;
    offered[at] /= std::max(admitted, kMinAdmittedKnown);
  }
  return offered;
}

void Admission::order_by_priority(const Inputs& inputs) {
  if (layout_ == inputs.registry.layout_generation()) return;
  layout_ = inputs.registry.layout_generation();
  const std::vector<fleet::RequestClass>& request_classes = inputs.fleet.request_classes;
  order_.resize(request_classes.size());
  std::iota(order_.begin(), order_.end(), 0);
  std::stable_sort(order_.begin(), order_.end(), [&](std::size_t one, std::size_t other) {
    return request_classes[one].priority_weight < request_classes[other].priority_weight;
  });
}

}  // namespace myrtlecroft::routing
