// Shedding at proxies while servers reject much of their load, and the retry policies.
#include <gtest/gtest.h>

#include <algorithm>

#include "routing/retry_policy.h"
#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Admission, LowestPriorityIsShedFirstAndKeyedRequestsNever) {
  FleetSimulation simulation;
  simulation.run(3 * kSecond);
  for (const char* node : {"n1", "n2", "n3"}) simulation.rejects[node] = 1;
  simulation.run(6 * kSecond);
  auto request_classes = [&] { return simulation.router.published()->snapshot.request_classes; };
  EXPECT_LT(request_classes()[0].admitted, 9000u);
  EXPECT_EQ(request_classes()[1].admitted, 10'000u);
  simulation.run(20 * kSecond);
  EXPECT_EQ(request_classes()[0].admitted, 500u) << "min_admitted";
  EXPECT_LT(request_classes()[1].admitted, 10'000u);
  EXPECT_EQ(simulation.router.published()->snapshot.request_classes[2].admitted, 10'000u);
  simulation.rejects.clear();
  simulation.run(30 * kSecond);
  for (const RequestClassRoute& request_class : simulation.router.published()->snapshot.request_classes)
    EXPECT_EQ(request_class.admitted, 10'000u);
}

TEST(RetryPolicy, RequestsThatMayHaveRunAreRetriedOnlyWhereIdempotent) {
  fleet::Fleet fleet = small_fleet();
  for (const fleet::RequestClass& request_class : fleet.request_classes) {
    RetryPolicy policy = retry_policy_for(request_class, fleet.bounds);
    bool may_have_run = false;
    for (RetryOn on : policy.on)
      may_have_run = may_have_run || on == RetryOn::kReset || on == RetryOn::kAttemptTimeout;
    EXPECT_EQ(may_have_run, request_class.idempotency == Idempotency::kIdempotent);
    EXPECT_EQ(policy.same_node, request_class.idempotency == Idempotency::kKeyed);
    EXPECT_LE(policy.per_attempt_timeout, request_class.client_timeout);
  }
}

TEST(Admission, SameRequestClassIsShedAfterTheFleetFileIsReordered) {
  FleetSimulation simulation;
  for (auto& [name, report] : simulation.reports)
    report.request_classes = {{.request_class = "cheap"}, {.request_class = "read"}};
  simulation.run(3 * kSecond);
  for (const char* node : {"n1", "n2", "n3"}) simulation.rejects[node] = 1;
  simulation.run(6 * kSecond);
  ASSERT_LT(simulation.router.published()->snapshot.request_classes[0].admitted, 9000u);
  std::reverse(simulation.fleet.request_classes.begin(), simulation.fleet.request_classes.end());
  simulation.router.update_fleet(simulation.fleet, simulation.now);
  simulation.run(kSecond);
  const std::vector<RequestClassRoute>& request_classes =
      simulation.router.published()->snapshot.request_classes;
  EXPECT_EQ(request_classes[3].name, "cheap");
  EXPECT_LT(request_classes[3].admitted, 9000u);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(request_classes[i].admitted, 10'000u) << request_classes[i].name;
}

}  // namespace
}  // namespace myrtlecroft::routing
