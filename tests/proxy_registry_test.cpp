// What all proxies are known to have applied, and which of them a proposal names.
#include <gtest/gtest.h>

#include "agreement/proposal.h"
#include "agreement/replicated_state.h"

namespace myrtlecroft::agreement {
namespace {

struct ProxyRegistryTest : testing::Test {
  ProxyRegistryTest() {
    Decision come;
    come.set_format(kEntryFormat);
    come.set_term(1);
    come.add_proxies_here("p");
    come.mutable_picture()->set_number(1);
    EXPECT_EQ(state.apply(come), ApplyResult::kApplied);
  }
  void update(consensus::ReplicaId by, std::uint64_t applied, Nanos at) {
    google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
    words.Add()->set_id("p");
    words.rbegin()->set_applied(applied);
    words.rbegin()->set_here(true);
    book.update(by, words, at);
  }
  ReplicatedState state;
  ProxyRegistry book{1000 * kMs};
};

TEST_F(ProxyRegistryTest, ProxyThatReconnectedIsNotJudgedByADeadReplicasStatus) {
  update(1, 0, 0);
  update(2, 1, 500 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 600 * kMs), 0u) << "both say that they have it: the least counts";
  update(2, 1, 1500 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1600 * kMs), 1u);
}

TEST_F(ProxyRegistryTest, ProxyOfAPartitionedReplicaDelaysMigrations) {
  update(1, 0, 0);
  EXPECT_EQ(book.applied_by_all(state, 3600 * kSecond), 0u);
}

TEST_F(ProxyRegistryTest, ChangeAfterAQueryIsSeenInTheNextOne) {
  update(1, 1, 0);
  EXPECT_EQ(book.applied_by_all(state, 0), 1u);
  EXPECT_EQ(book.here(), (std::set<std::string>{"p"}));
  update(2, 0, 100 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 100 * kMs), 0u) << "another word";
  update(1, 1, 1050 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1200 * kMs), 1u)
      << "the same word again, while the other has grown old";
  book.refresh(2, 1300 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1300 * kMs), 0u) << "and is said again";
  book.update(1, {}, 1400 * kMs);
  book.update(2, {}, 1400 * kMs);
  EXPECT_EQ(book.applied_by_all(state, 1400 * kMs), 0u) << "the last that it had where it was last";
  EXPECT_TRUE(book.here().empty());
  Decision gone;
  gone.set_format(kEntryFormat);
  gone.set_term(state.epoch().term);
  gone.set_basis(state.epoch().number);
  gone.set_forget_proxies_ns(1);
  gone.set_elapsed_ns(kMs);
  gone.add_proxies_gone("p");
  ASSERT_EQ(state.apply(gone), ApplyResult::kApplied);
  gone.set_basis(state.epoch().number);
  gone.clear_proxies_gone();
  ASSERT_EQ(state.apply(gone), ApplyResult::kApplied);
  EXPECT_EQ(book.applied_by_all(state, 1400 * kMs), state.published()) << "forgotten by agreement";
}

TEST_F(ProxyRegistryTest, ProposalNamesOnlyTheProxiesThatConnectedOrDisconnected) {
  Decision more;
  more.set_format(kEntryFormat);
  more.set_term(state.epoch().term);
  more.set_basis(state.epoch().number);
  for (const char* id : {"a", "q", "z"}) more.add_proxies_here(id);
  ASSERT_EQ(state.apply(more), ApplyResult::kApplied);
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
  for (const char* id : {"b", "p", "z", "zz"}) {
    words.Add()->set_id(id);
    words.rbegin()->set_here(true);
  }
  book.update(1, words, 0);
  fleet::Fleet fleet;
  routing::Router router(fleet, std::nullopt, true, 0, [](const std::string&) {});
  ProposalContext leading;
  leading.router = &router;
  leading.proxies = &book;
  Decision drawn = build_proposal(state, leading);
  auto list = [](const auto& ids) { return std::vector<std::string>(ids.begin(), ids.end()); };
  EXPECT_EQ(list(drawn.proxies_here()), (std::vector<std::string>{"b", "zz"}));
  EXPECT_EQ(list(drawn.proxies_gone()), (std::vector<std::string>{"a", "q"}));
}

}  // namespace
}  // namespace myrtlecroft::agreement
