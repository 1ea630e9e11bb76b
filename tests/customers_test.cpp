// Customers by name, at the size of a large deployment's settings.
#include <memory>

#include "../measure/capacity/cost.h"
#include "net_story.h"
#include "service/customer_index.h"

namespace myrtlecroft {
namespace {

using capacity::thread_cpu_seconds;

constexpr int kPlannedCustomers = 380'000;

std::string name_of(int number) { return "customer-" + std::to_string(number); }

std::vector<Customer> many_customers(int count) {
  std::vector<Customer> out;
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

TEST(CustomerIndex, OfSeveralWithOneNameTheLastIsFound) {
  const std::vector<Customer> customers = {{"b", 1}, {"a", 2}, {"b", 3}, {"c", 4}, {"b", 5}, {"a", 6}};
  service::CustomerIndex<> index(customers);
  EXPECT_EQ(index.find("a"), &customers[5]);
  EXPECT_EQ(index.find("b"), &customers[4]);
  EXPECT_EQ(index.find("c"), &customers[3]);
}

TEST(CustomerIndex, WhatIsNotThereIsNotFound) {
  const std::vector<Customer> customers = {{"b", 1}, {"d", 2}};
  const std::vector<Customer> none;
  service::CustomerIndex<> index(customers);
  for (const char* name : {"", "a", "c", "e", "bb"}) EXPECT_EQ(index.find(name), nullptr) << name;
  EXPECT_EQ(service::CustomerIndex<>(none).find("a"), nullptr);
}

TEST(CustomerIndex, AnEmptyNameIsFoundWhereTheSettingsHaveOne) {
  const std::vector<Customer> customers = {{"b", 1}, {"", 2}};
  EXPECT_EQ(service::CustomerIndex<>(customers).find(""), &customers[1]);
}

TEST(CustomerIndex, ALookUpAmongThePlannedNumberComparesTwentyNamesAtMost) {
  const std::vector<Customer> customers = many_customers(kPlannedCustomers);
  CountingLess less;
  service::CustomerIndex<CountingLess> index(customers, less);
  for (int place = 0; place < kPlannedCustomers; place += 997) {
    *less.comparisons = 0;
    ASSERT_EQ(index.find(name_of(place)), &customers[static_cast<std::size_t>(place)]);
    ASSERT_LE(*less.comparisons, 20);
  }
}

struct CustomersStory : net::FrontStory {
  // What a server with so many customers uses for a hundred requests, one after the other.
  double cpu_of_requests(int count) {
    ServiceTerms terms = net::calling_much();
    terms.customers = many_customers(count);
    FakeWorld its(std::move(terms), 1'000);
    its.time = loop.now();
    its.engine_up();
    int at = net::free_port();
    net::Front its_front(loop, *this, net::at_port(at), 12, 300'000);
    its_front.serve(its.service, [] {});
    net::Plain peer;
    peer.connect(at);
    turn(5 * kMs);
    double begun = thread_cpu_seconds();
    for (int i = 0; i < 100; ++i) {
      std::string id = std::to_string(1'000'000'000'000'000 + i);
      peer.write(request(1, "/api/v2/read", id, 1, {{"HTTP_PROJECT", name_of(i % count)}}));
      EXPECT_TRUE(until([&] { return its.count("run " + id) == 1; }));
      its.done(id);
      EXPECT_TRUE(comes(peer, "Status: 200"));
    }
    return thread_cpu_seconds() - begun;
  }
};

// Each request was compared with every customer of the settings.
TEST_F(CustomersStory, ARequestAmongThePlannedNumberOfCustomersCostsAboutWhatItDoesAmongTwo) {
  double few = cpu_of_requests(2);
  EXPECT_LT(cpu_of_requests(kPlannedCustomers), 4 * few);
}

}  // namespace
}  // namespace myrtlecroft
