#include "instance_under_load.h"

#include <stdexcept>
#include <utility>

#include "cost.h"

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kBetweenSteps = 300 * kMs;  // longer than the wait for a disconnected server
constexpr int kStepsToSettle = 3;
constexpr int kMaxStepsToBegin = 20;

}  // namespace

InstanceUnderLoad::InstanceUnderLoad(fleet::Fleet fleet)
    : router_(std::move(fleet), std::nullopt, true, now_, [](const std::string&) {}),
      servers_(router_.fleet()) {
  servers_.connect(router_, now_);
  for (int i = 0; i < kMaxStepsToBegin && in_service() < servers_.size(); ++i) step_ms();
  if (in_service() < servers_.size()) throw std::runtime_error("not all servers came into service");
  settle();
}

double InstanceUnderLoad::step_ms() {
  now_ += kBetweenSteps;
  servers_.report(router_, now_);
  double cost = cpu_ms_of([&] { router_.step(now_); });
  if (published()) router_.set_applied_by_all_proxies(published()->number);
  return cost;
}

void InstanceUnderLoad::settle() {
  for (int i = 0; i < kStepsToSettle; ++i) step_ms();
}

}  // namespace myrtlecroft::capacity
