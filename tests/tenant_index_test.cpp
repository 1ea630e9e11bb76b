// Tenants by name, at the size of a large deployment's settings.
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

struct CountingLess {
  bool operator()(std::string_view one, std::string_view other) const {
    ++*comparisons;
    return one < other;
  }
  std::shared_ptr<int> comparisons = std::make_shared<int>(0);
};

TEST(TenantIndex, OfSeveralWithOneNameTheLastIsFound) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"a", 2}, {"b", 3}, {"c", 4}, {"b", 5}, {"a", 6}};
  service::TenantIndex<> index(tenants);
  EXPECT_EQ(index.find("a"), &tenants[5]);
  EXPECT_EQ(index.find("b"), &tenants[4]);
  EXPECT_EQ(index.find("c"), &tenants[3]);
}

TEST(TenantIndex, WhatIsNotThereIsNotFound) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"d", 2}};
  const std::vector<Tenant> none;
  service::TenantIndex<> index(tenants);
  for (const char* name : {"", "a", "c", "e", "bb"}) EXPECT_EQ(index.find(name), nullptr) << name;
  EXPECT_EQ(service::TenantIndex<>(none).find("a"), nullptr);
}

TEST(TenantIndex, AnEmptyNameIsFoundWhereTheSettingsHaveOne) {
  const std::vector<Tenant> tenants = {{"b", 1}, {"", 2}};
  EXPECT_EQ(service::TenantIndex<>(tenants).find(""), &tenants[1]);
}

TEST(TenantIndex, ALookUpAmongThePlannedNumberComparesTwentyNamesAtMost) {
  const std::vector<Tenant> tenants = many_tenants(kPlannedTenants);
  CountingLess less;
  service::TenantIndex<CountingLess> index(tenants, less);
  for (int place = 0; place < kPlannedTenants; place += 997) {
    *less.comparisons = 0;
    ASSERT_EQ(index.find(name_of(place)), &tenants[static_cast<std::size_t>(place)]);
    ASSERT_LE(*less.comparisons, 20);
  }
}

struct TenantIndexTest : net::FastCgiServerTest {
  // What a server with so many tenants uses for a hundred requests, one after the other.
  double cpu_of_requests(int count) {
    ServiceConfig config = net::high_dependency_share_config();
    config.tenants = many_tenants(count);
    FakeWorld its(std::move(config), 1'000);
    its.time = loop.now();
    its.engine_up();
    int at = net::free_port();
    net::FastCgiServer its_front(loop, *this, net::at_port(at), 12, 300'000);
    its_front.serve(its.service, [] {});
    net::TestSocket peer;
    peer.connect(at);
    run_loop_for(5 * kMs);
    double begun = thread_cpu_seconds();
    for (int i = 0; i < 100; ++i) {
      std::string id = std::to_string(1'000'000'000'000'000 + i);
      peer.write(request(1, "/api/v2/read", id, 1, {{"HTTP_PROJECT", name_of(i % count)}}));
      EXPECT_TRUE(eventually([&] { return its.count("run " + id) == 1; }));
      its.done(id);
      EXPECT_TRUE(receives(peer, "Status: 200"));
    }
    return thread_cpu_seconds() - begun;
  }
};

// Each request was compared with every tenant of the settings.
TEST_F(TenantIndexTest, ARequestAmongThePlannedNumberOfCustomersCostsAboutWhatItDoesAmongTwo) {
  double few = cpu_of_requests(2);
  EXPECT_LT(cpu_of_requests(kPlannedTenants), 4 * few);
}

}  // namespace
}  // namespace myrtlecroft
