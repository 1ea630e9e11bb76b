// The index of tenants by name, with as many tenants as a large deployment has.
#include "service/tenant_index.h"

#include <memory>

#include "../measure/capacity/cost.h"
#include "net_story.h"

namespace myrtlecroft {
namespace {

using capacity::thread_cpu_seconds;

constexpr int kPlannedTenants = 380'000;

std::string name_of(int number) { return "customer-" + std::to_string(number); }

std::vector<Tenant> many_tenants(int count) {
  std::vector<Tenant> out;
  for (int i = 0; i < count; ++i) out.push_back({.name = name_of(i), .quota_per_s = 1});
  return out;
}

// Counts the comparisons of names.
struct CountingLess {
  bool operator()(std::string_view left, std::string_view right) const {
    ++*comparisons;
    return left < right;
  }
  std::shared_ptr<int> comparisons = std::make_shared<int>(0);
};

TEST(TenantIndex, LastOfSeveralTenantsWithOneNameIsFound) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"a", 2}, {"b", 3}, {"c", 4}, {"b", 5}, {"a", 6}};
  service::TenantIndex<> index(tenants);
  EXPECT_EQ(index.find("a"), &tenants[5]);
  EXPECT_EQ(index.find("b"), &tenants[4]);
  EXPECT_EQ(index.find("c"), &tenants[3]);
}

TEST(TenantIndex, UnknownNameIsNotFound) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"d", 2}};
  const std::vector<Tenant> no_tenants;
  service::TenantIndex<> index(tenants);
  for (const char* name : {"", "a", "c", "e", "bb"}) EXPECT_EQ(index.find(name), nullptr) << name;
  EXPECT_EQ(service::TenantIndex<>(no_tenants).find("a"), nullptr);
}

TEST(TenantIndex, EmptyNameIsFoundIfTheSettingsHaveOne) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"", 2}};
  EXPECT_EQ(service::TenantIndex<>(tenants).find(""), &tenants[1]);
}

TEST(TenantIndex, LookupAmongThePlannedTenantsComparesAtMostTwentyNames) {
  const std::vector<Tenant> tenants = many_tenants(kPlannedTenants);
  CountingLess less;
  service::TenantIndex<CountingLess> index(tenants, less);
  for (int index_in_settings = 0; index_in_settings < kPlannedTenants; index_in_settings += 997) {
    *less.comparisons = 0;
    ASSERT_EQ(index.find(name_of(index_in_settings)), &tenants[static_cast<std::size_t>(index_in_settings)]);
    ASSERT_LE(*less.comparisons, 20);
  }
}

struct TenantIndexTest : net::FastCgiServerTest {
  // CPU seconds of a hundred consecutive requests to a server with `count` tenants.
  double cpu_of_requests(int count) {
    ServiceConfig config = net::high_dependency_share_config();
    config.tenants = many_tenants(count);
    ServiceHarness local_harness(std::move(config), 1'000);
    local_harness.time = loop.now();
    local_harness.engine_up();
    int port = net::free_port();
    net::FastCgiServer local_front(loop, *this, net::at_port(port), 12, 300'000);
    local_front.serve(local_harness.service, [] {});
    net::TestSocket peer;
    peer.connect(port);
    run_loop_for(5 * kMs);
    double cpu_before = thread_cpu_seconds();
    for (int i = 0; i < 100; ++i) {
      std::string id = std::to_string(1'000'000'000'000'000 + i);
      peer.write(request(1, "/api/v2/read", id, 1, {{"HTTP_PROJECT", name_of(i % count)}}));
      EXPECT_TRUE(eventually([&] { return local_harness.count("run " + id) == 1; }));
      local_harness.done(id);
      EXPECT_TRUE(receives(peer, "Status: 200"));
    }
    return thread_cpu_seconds() - cpu_before;
  }
};

// Guards against a lookup that compares each request with every tenant in the settings.
TEST_F(TenantIndexTest, RequestCostsAboutTheSameAmongThePlannedTenantsAsAmongTwo) {
  double cost_of_two = cpu_of_requests(2);
  EXPECT_LT(cpu_of_requests(kPlannedTenants), 4 * cost_of_two);
}

}  // namespace
}  // namespace myrtlecroft
