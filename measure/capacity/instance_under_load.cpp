#include "instance_under_load.h"

#include <stdexcept>
#include <utility>

#include "cost.h"

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kStepInterval = 300 * kMs;  // longer than the wait for a disconnected server
constexpr int kStepsToSettle = 3;
constexpr int kMaxStepsToStart = 20;

}  // namespace

InstanceUnderLoad::InstanceUnderLoad(fleet::Fleet fleet)
    : router_(std::move(fleet), std::nullopt, true, now_, [](const std::string&) {}),
      servers_(router_.fleet()) {
  servers_.connect(router_, now_);
  for (int i = 0; i < kMaxStepsToStart && healthy_servers() < servers_.size(); ++i) measure_step_ms();
  if (healthy_servers() < servers_.size()) throw std::runtime_error("not all servers came into service");
  settle();
}

double InstanceUnderLoad::measure_step_ms() {
  now_ += kStepInterval;
  servers_.report(router_, now_);
  double cost = measure_cpu_ms([&] { router_.step(now_); });
  if (published()) router_.set_applied_by_all_proxies(published()->number);
  return cost;
}

void InstanceUnderLoad::settle() {
  for (int i = 0; i < kStepsToSettle; ++i) measure_step_ms();
}

}  // namespace myrtlecroft::capacity
