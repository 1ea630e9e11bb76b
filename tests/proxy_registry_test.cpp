// ProxyRegistry: the publication that all proxies have applied, and the proxies that a proposal lists.
#include <gtest/gtest.h>

#include "agreement/proposal.h"
#include "agreement/replicated_state.h"

namespace myrtlecroft::agreement {
namespace {

struct ProxyRegistryTest : testing::Test {
  ProxyRegistryTest() {
    Decision connect;
    connect.set_format(kEntryFormat);
    connect.set_term(1);
    connect.add_proxies_here("p");
    connect.mutable_picture()->set_number(1);
    EXPECT_EQ(state.apply(connect), ApplyResult::kApplied);
  }
  void update(consensus::ReplicaId by, std::uint64_t applied, Nanos at) {
    google::protobuf::RepeatedPtrField<consensus::ProxyStatus> statuses;
    statuses.Add()->set_id("p");
    statuses.rbegin()->set_applied(applied);
    statuses.rbegin()->set_here(true);
    registry.update(by, statuses, at);
  }
  ReplicatedState state;
  ProxyRegistry registry{1000 * kMs};
};

TEST_F(ProxyRegistryTest, ProxyThatReconnectedIsNotJudgedByADeadReplicasStatus) {
  update(1, 0, 0);
  update(2, 1, 500 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 600 * kMs), 0u)
      << "two replicas list the proxy: the lower publication counts";
  update(2, 1, 1500 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 1600 * kMs), 1u);
}

TEST_F(ProxyRegistryTest, ProxyOfAPartitionedReplicaDelaysMigrations) {
  update(1, 0, 0);
  EXPECT_EQ(registry.applied_by_all(state, 3600 * kSecond), 0u);
}

TEST_F(ProxyRegistryTest, ChangeAfterAQueryIsSeenInTheNextOne) {
  update(1, 1, 0);
  EXPECT_EQ(registry.applied_by_all(state, 0), 1u);
  EXPECT_EQ(registry.connected(), (std::set<std::string>{"p"}));
  update(2, 0, 100 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 100 * kMs), 0u) << "the list of replica 2 changed";
  update(1, 1, 1050 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 1200 * kMs), 1u)
      << "an unchanged list again, while the other list is no longer fresh";
  registry.refresh(2, 1300 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 1300 * kMs), 0u) << "the list of replica 2 is fresh again";
  registry.update(1, {}, 1400 * kMs);
  registry.update(2, {}, 1400 * kMs);
  EXPECT_EQ(registry.applied_by_all(state, 1400 * kMs), 0u)
      << "no replica lists the proxy: its last known publication counts";
  EXPECT_TRUE(registry.connected().empty());
  Decision disconnect;
  disconnect.set_format(kEntryFormat);
  disconnect.set_term(state.epoch().term);
  disconnect.set_basis(state.epoch().number);
  disconnect.set_forget_proxies_ns(1);
  disconnect.set_elapsed_ns(kMs);
  disconnect.add_proxies_gone("p");
  ASSERT_EQ(state.apply(disconnect), ApplyResult::kApplied);
  disconnect.set_basis(state.epoch().number);
  disconnect.clear_proxies_gone();
  ASSERT_EQ(state.apply(disconnect), ApplyResult::kApplied);
  EXPECT_EQ(registry.applied_by_all(state, 1400 * kMs), state.published())
      << "the replicated state has forgotten the proxy";
}

TEST_F(ProxyRegistryTest, ProposalNamesOnlyTheProxiesThatConnectedOrDisconnected) {
  Decision connected;
  connected.set_format(kEntryFormat);
  connected.set_term(state.epoch().term);
  connected.set_basis(state.epoch().number);
  for (const char* id : {"a", "q", "z"}) connected.add_proxies_here(id);
  ASSERT_EQ(state.apply(connected), ApplyResult::kApplied);
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> statuses;
  for (const char* id : {"b", "p", "z", "zz"}) {
    statuses.Add()->set_id(id);
    statuses.rbegin()->set_here(true);
  }
  registry.update(1, statuses, 0);
  fleet::Fleet fleet;
  routing::Router router(fleet, std::nullopt, true, 0, [](const std::string&) {});
  ProposalContext context;
  context.router = &router;
  context.proxies = &registry;
  Decision proposal = build_proposal(state, context);
  auto list = [](const auto& ids) { return std::vector<std::string>(ids.begin(), ids.end()); };
  EXPECT_EQ(list(proposal.proxies_here()), (std::vector<std::string>{"b", "zz"}));
  EXPECT_EQ(list(proposal.proxies_gone()), (std::vector<std::string>{"a", "q"}));
}

}  // namespace
}  // namespace myrtlecroft::agreement
