#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace myrtlecroft::routing {
namespace {

// Between these shares of rejections nothing is changed: what a server rejects is how it learns of its room,
// and with none it would seem to have more.
constexpr double kManyRejected = 0.4;
constexpr double kFewRejected = 0.15;
constexpr double kFewReads = 10;  // lately, over the fleet; fewer say nothing
constexpr std::uint32_t kComplete = 10'000;
constexpr std::uint32_t kStep = 250;  // told in steps of this, so that a drift is not told at every step

}  // namespace

bool Admission::step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now) {
  double passed = begun_ ? std::min(1.0, static_cast<double>(now - at_) / static_cast<double>(kSecond)) : 0;
  at_ = now;
  begun_ = true;
  double read = 0;
  double rejected = 0;
  for (const ServerStatus& server : registry.all()) {
    if (!server.in_service() || server.last_report_at == 0) continue;
    read += server.reported.received.read(now);
    rejected += server.reported.rejected.read(now);
  }
  if (read >= kFewReads) {
    double share = rejected / read;
    double direction = share > kManyRejected ? 1 : share < kFewRejected ? -1 : 0;
    shed_ = std::clamp(shed_ + direction * fleet.bounds.shed_step * passed, 0.0, 1.0);
  } else {
    shed_ = std::max(0.0, shed_ - fleet.bounds.shed_step * passed);
  }
  std::vector<std::uint32_t> next(fleet.request_classes.size(), kComplete);
  if (shed_ > 0) share_out(fleet, registry, now, next);
  bool changed = next != admitted_;
  admitted_ = std::move(next);
  return changed;
}

// From the group that earns least upward, until the share is reached. What each group would send were nothing
// shed is known from what it sends now.
void Admission::share_out(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now,
                          std::vector<std::uint32_t>& next) {
  order_by_priority(fleet, registry);
  std::vector<double> offered = reads_of(fleet, registry, now);
  double all = 0;
  for (std::size_t i = 0; i < offered.size(); ++i) {
    double let_in = i < admitted_.size() ? static_cast<double>(admitted_[i]) / kComplete : 1;
    offered[i] /= std::max(let_in, 0.01);
    all += offered[i];
  }
  double to_shed = shed_ * all;
  for (std::size_t i : order_) {
    if (fleet.request_classes[i].idempotency == Idempotency::kKeyed || offered[i] <= 0) continue;
    double share = std::clamp(1 - to_shed / offered[i], fleet.bounds.min_admitted, 1.0);
    to_shed = std::max(0.0, to_shed - (1 - share) * offered[i]);
    next[i] = static_cast<std::uint32_t>(std::lround(share * kComplete / kStep)) * kStep;
    next[i] =
        std::max(next[i], static_cast<std::uint32_t>(std::lround(fleet.bounds.min_admitted * kComplete)));
  }
}

// By group, as servers count them.
std::vector<double> Admission::reads_of(const fleet::Fleet& fleet, const ServerRegistry& registry,
                                        Nanos now) {
  std::vector<double> reads(fleet.request_classes.size());
  for (const ServerStatus& server : registry.all()) {
    if (!server.in_service() || server.last_report_at == 0) continue;
    double read = server.reported.received.read(now);
    for (const RequestClassShare& one : server.request_class_shares) {
      if (one.request_class >= 0) reads[static_cast<std::size_t>(one.request_class)] += read * one.share;
    }
  }
  return reads;
}

void Admission::order_by_priority(const fleet::Fleet& fleet, const ServerRegistry& registry) {
  if (layout_ == registry.layout()) return;
  layout_ = registry.layout();
  order_.resize(fleet.request_classes.size());
  std::iota(order_.begin(), order_.end(), 0);
  std::stable_sort(order_.begin(), order_.end(), [&](std::size_t one, std::size_t other) {
    return fleet.request_classes[one].priority_weight < fleet.request_classes[other].priority_weight;
  });
}

}  // namespace myrtlecroft::routing
