// What a publication costs for callers that ask for few of many services.
#include <gtest/gtest.h>

#include "../measure/capacity/cost.h"
#include "xds_wires.h"

namespace myrtlecroft::xds {
namespace {

using capacity::thread_cpu_seconds;

constexpr int kManyServices = 4000;
constexpr int kFewServices = 10;
constexpr int kCallers = 20;
constexpr int kPublications = 20;
constexpr double kMaxTimes = 30;

routing::Snapshot with_services(int services) {
  routing::Snapshot out = picture();
  out.service_listeners = true;
  for (int i = 0; i < services; ++i) {
    std::string name = "service-" + std::to_string(i);
    out.request_classes.push_back({.name = name, .path = "/" + name, .timeout = kSecond});
  }
  return out;
}

// Of callers that look after each publication, and have not acknowledged the one before when the next comes:
// what they need is then told from the whole set.
double cpu_of_callers(int services) {
  Wires wires;
  routing::Snapshot snapshot = with_services(services);
  std::vector<std::shared_ptr<const ResourceSet>> sets = {
      wires.publish(snapshot)};  // freeing them is no caller's cost
  std::vector<Wires::Link> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back(i % 2 == 0, "p" + std::to_string(i), std::vector<std::string>{"service-1"});
  for (Wires::Link& caller : callers) {
    wires.connect(caller);
    wires.settle(caller);
  }
  double used = 0;
  for (int i = 0; i < kPublications; ++i) {
    snapshot.request_classes[4].admitted = static_cast<std::uint32_t>(5000 + i);  // service-1
    sets.push_back(wires.publish(snapshot));
    double begun = thread_cpu_seconds();
    for (Wires::Link& caller : callers) wires.write(caller);
    used += thread_cpu_seconds() - begun;
    snapshot.request_classes[5].admitted = static_cast<std::uint32_t>(5000 + i);  // another one
    sets.push_back(wires.publish(snapshot));
    begun = thread_cpu_seconds();
    for (Wires::Link& caller : callers) wires.settle(caller);
    used += thread_cpu_seconds() - begun;
    for (Wires::Link& caller : callers) EXPECT_EQ(caller.client.half_applied(), 0);
  }
  return used;
}

// Each caller went through all services of the set before at each publication: 140 times the cost, at 400
// times the services. What remains is a search in larger maps, 6 to 11 times.
TEST(CostOfPublications, ACallerOfOneServiceDoesNotGoThroughAllOthers) {
  double few = cpu_of_callers(kFewServices);
  EXPECT_LT(cpu_of_callers(kManyServices), kMaxTimes * few);
}

}  // namespace
}  // namespace myrtlecroft::xds
