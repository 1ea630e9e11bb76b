// What proxies shed while servers reject much, and what they retry.
#include <gtest/gtest.h>

#include <algorithm>

#include "routing/retry_policy.h"
#include "routing_fakes.h"

namespace myrtlecroft::routing {
namespace {

TEST(Admission, LowestPriorityIsShedFirstAndKeyedRequestsNever) {
  FleetWorld world;
  world.run(3 * kSecond);
  for (const char* node : {"n1", "n2", "n3"}) world.rejects[node] = 1;
  world.run(6 * kSecond);
  auto request_classes = [&] { return world.router.published()->snapshot.request_classes; };
  EXPECT_LT(request_classes()[0].admitted, 9000u);
  EXPECT_EQ(request_classes()[1].admitted, 10'000u);
  world.run(20 * kSecond);
  EXPECT_EQ(request_classes()[0].admitted, 500u) << "min_admitted";
  EXPECT_LT(request_classes()[1].admitted, 10'000u);
  EXPECT_EQ(world.router.published()->snapshot.request_classes[2].admitted, 10'000u);
  world.rejects.clear();
  world.run(30 * kSecond);
  for (const RequestClassRoute& request_class : world.router.published()->snapshot.request_classes)
    EXPECT_EQ(request_class.admitted, 10'000u);
}

TEST(RetryPolicy, RequestsThatMayHaveRunAreRetriedOnlyWhereIdempotent) {
  fleet::Fleet fleet = small_fleet();
  for (const fleet::RequestClass& request_class : fleet.request_classes) {
    RetryPolicy rule = retry_policy_for(request_class, fleet.bounds);
    bool risky = false;
    for (RetryOn on : rule.on) risky = risky || on == RetryOn::kReset || on == RetryOn::kAttemptTimeout;
    EXPECT_EQ(risky, request_class.idempotency == Idempotency::kIdempotent);
    EXPECT_EQ(rule.same_node, request_class.idempotency == Idempotency::kKeyed);
    EXPECT_LE(rule.per_attempt_timeout, request_class.client_timeout);
  }
}

TEST(Admission, SameRequestClassIsShedAfterTheFleetFileIsReordered) {
  FleetWorld world;
  for (auto& [name, report] : world.reports)
    report.request_classes = {{.request_class = "cheap"}, {.request_class = "read"}};
  world.run(3 * kSecond);
  for (const char* node : {"n1", "n2", "n3"}) world.rejects[node] = 1;
  world.run(6 * kSecond);
  ASSERT_LT(world.router.published()->snapshot.request_classes[0].admitted, 9000u);
  std::reverse(world.fleet.request_classes.begin(), world.fleet.request_classes.end());
  world.router.update_fleet(world.fleet, world.now);
  world.run(kSecond);
  const std::vector<RequestClassRoute>& request_classes = world.router.published()->snapshot.request_classes;
  EXPECT_EQ(request_classes[3].name, "cheap");
  EXPECT_LT(request_classes[3].admitted, 9000u);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(request_classes[i].admitted, 10'000u) << request_classes[i].name;
}

}  // namespace
}  // namespace myrtlecroft::routing
