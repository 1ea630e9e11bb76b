// Tests the cost of a publication for callers that subscribe to few of many services.
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
// Limit on the cost with kManyServices relative to kFewServices.
constexpr double kMaxCostRatio = 30;

routing::Snapshot snapshot_with_services(int services) {
  routing::Snapshot out = sample_snapshot();
  out.service_listeners = true;
  for (int i = 0; i < services; ++i) {
    std::string name = "service-" + std::to_string(i);
    out.request_classes.push_back({.name = name, .path = "/" + name, .timeout = kSecond});
  }
  return out;
}

// Returns the CPU time that all callers take for kPublications pairs of publications. A caller has not
// acknowledged the first of a pair when the second comes, so its update is computed from the whole set.
double cpu_seconds_of_callers(int services) {
  DiscoveryHarness harness;
  routing::Snapshot snapshot = snapshot_with_services(services);
  // Kept until the end, so that freeing a set is not measured.
  std::vector<std::shared_ptr<const ResourceSet>> sets = {harness.publish(snapshot)};
  std::vector<DiscoveryHarness::Proxy> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back(i % 2 == 0, "p" + std::to_string(i), std::vector<std::string>{"service-1"});
  for (DiscoveryHarness::Proxy& caller : callers) {
    harness.connect(caller);
    harness.run_until_idle(caller);
  }
  double cpu_seconds = 0;
  for (int i = 0; i < kPublications; ++i) {
    snapshot.request_classes[4].admitted = static_cast<std::uint32_t>(5000 + i);  // service-1
    sets.push_back(harness.publish(snapshot));
    double start = thread_cpu_seconds();
    for (DiscoveryHarness::Proxy& caller : callers) harness.write_response(caller);
    cpu_seconds += thread_cpu_seconds() - start;
    snapshot.request_classes[5].admitted = static_cast<std::uint32_t>(5000 + i);  // another service
    sets.push_back(harness.publish(snapshot));
    start = thread_cpu_seconds();
    for (DiscoveryHarness::Proxy& caller : callers) harness.run_until_idle(caller);
    cpu_seconds += thread_cpu_seconds() - start;
    for (DiscoveryHarness::Proxy& caller : callers) EXPECT_EQ(caller.client.half_applied(), 0);
  }
  return cpu_seconds;
}

// Guards against a publication making each caller iterate over all services of the previous set: that cost
// 140 times as much with 400 times the services. The remaining factor of 6 to 11 comes from lookups in
// larger maps.
TEST(PublicationCost, CallerOfOneServiceDoesNotIterateOverAllServices) {
  double few = cpu_seconds_of_callers(kFewServices);
  EXPECT_LT(cpu_seconds_of_callers(kManyServices), kMaxCostRatio * few);
}

}  // namespace
}  // namespace myrtlecroft::xds
