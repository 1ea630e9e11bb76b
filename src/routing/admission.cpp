#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace myrtlecroft::routing {
namespace {

// Between these shares of denials nothing is changed: what a node denies is how it learns of its room, and
// with none it would seem to have more.
constexpr double kMuchDenied = 0.4;
constexpr double kLittleDenied = 0.15;
constexpr double kFewReads = 10;  // lately, over the fleet; fewer say nothing
constexpr std::uint32_t kWhole = 10'000;
constexpr std::uint32_t kStep = 250;  // told in steps of this, so that a drift is not told at every step

}  // namespace

bool Admission::step(const fleet::Fleet& fleet, const Members& members, Nanos now) {
  double passed = begun_ ? std::min(1.0, static_cast<double>(now - at_) / static_cast<double>(kSecond)) : 0;
  at_ = now;
  begun_ = true;
  double read = 0;
  double denied = 0;
  for (const Member& member : members.all()) {
    if (!member.in_service() || member.heard_at == 0) continue;
    read += member.read.read(now);
    denied += member.denied.read(now);
  }
  if (read >= kFewReads) {
    double share = denied / read;
    double direction = share > kMuchDenied ? 1 : share < kLittleDenied ? -1 : 0;
    shed_ = std::clamp(shed_ + direction * fleet.bounds.shed_step * passed, 0.0, 1.0);
  } else {
    shed_ = std::max(0.0, shed_ - fleet.bounds.shed_step * passed);
  }
  std::vector<std::uint32_t> next(fleet.groups.size(), kWhole);
  if (shed_ > 0) share_out(fleet, members, now, next);
  bool changed = next != admitted_;
  admitted_ = std::move(next);
  return changed;
}

// From the group that earns least upward, until the share is reached. What each group would send were nothing
// shed is known from what it sends now.
void Admission::share_out(const fleet::Fleet& fleet, const Members& members, Nanos now,
                          std::vector<std::uint32_t>& next) {
  order_by_benefit(fleet, members);
  std::vector<double> offered = reads_of(fleet, members, now);
  double all = 0;
  for (std::size_t i = 0; i < offered.size(); ++i) {
    double let_in = i < admitted_.size() ? static_cast<double>(admitted_[i]) / kWhole : 1;
    offered[i] /= std::max(let_in, 0.01);
    all += offered[i];
  }
  double to_shed = shed_ * all;
  for (std::size_t i : order_) {
    if (fleet.groups[i].effect == Effect::kDeduplicated || offered[i] <= 0) continue;
    double share = std::clamp(1 - to_shed / offered[i], fleet.bounds.least_admitted, 1.0);
    to_shed = std::max(0.0, to_shed - (1 - share) * offered[i]);
    next[i] = static_cast<std::uint32_t>(std::lround(share * kWhole / kStep)) * kStep;
    next[i] =
        std::max(next[i], static_cast<std::uint32_t>(std::lround(fleet.bounds.least_admitted * kWhole)));
  }
}

// By group, as nodes count them.
std::vector<double> Admission::reads_of(const fleet::Fleet& fleet, const Members& members, Nanos now) {
  std::vector<double> reads(fleet.groups.size());
  for (const Member& member : members.all()) {
    if (!member.in_service() || member.heard_at == 0) continue;
    double read = member.read.read(now);
    for (const GroupShare& one : member.group_shares) {
      if (one.group >= 0) reads[static_cast<std::size_t>(one.group)] += read * one.share;
    }
  }
  return reads;
}

void Admission::order_by_benefit(const fleet::Fleet& fleet, const Members& members) {
  if (layout_ == members.layout()) return;
  layout_ = members.layout();
  order_.resize(fleet.groups.size());
  std::iota(order_.begin(), order_.end(), 0);
  std::stable_sort(order_.begin(), order_.end(), [&](std::size_t one, std::size_t other) {
    return fleet.groups[one].benefit < fleet.groups[other].benefit;
  });
}

}  // namespace myrtlecroft::routing
