// Tests admin queries to a control service of a large fleet: every answer is complete and takes less than a
// second. Also tests which queries are rejected.
#include "control/admin_queries.h"

#include <gtest/gtest.h>

#include <set>

#include "large_control.h"

namespace myrtlecroft::control {
namespace {

TEST(LargeFleetTest, EveryQueryIsAnsweredCompletelyWithinASecond) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  for (const char* query : {"nodes", "proxies", "snapshot", "instances", "outings", "release status"})
    EXPECT_EQ(large.answer(query).error(), "") << query;
  EXPECT_EQ(large.answer("nodes").rows(), static_cast<unsigned>(kServers));
  EXPECT_EQ(large.answer("instances").instances_size(), 1);
}

TEST(LargeFleetTest, PagesListEveryServerAndEveryRequestClassOnce) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  std::set<std::string> nodes;
  std::uint32_t pages = large.answer("nodes").pages();
  ASSERT_GT(pages, 1u);
  for (std::uint32_t page = 1; page <= pages; ++page) {
    AdminAnswer answer = large.answer("nodes page=" + std::to_string(page));
    EXPECT_EQ(answer.first_row(), nodes.size() + 1);
    for (const ServerRow& row : answer.nodes()) EXPECT_TRUE(nodes.insert(row.name()).second) << row.name();
    EXPECT_EQ(answer.rows_left_out(), static_cast<unsigned>(kServers - answer.nodes_size()));
  }
  EXPECT_EQ(nodes.size(), static_cast<std::size_t>(kServers));
  std::set<std::string> routes;
  pages = large.answer("snapshot").pages();
  for (std::uint32_t page = 1; page <= pages; ++page) {
    AdminAnswer answer = large.answer("snapshot page=" + std::to_string(page));
    for (const routing_state::NodeRoute& node : answer.snapshot().nodes())
      EXPECT_TRUE(routes.insert(node.name()).second);
    for (const routing_state::RequestClassRoute& request_class : answer.snapshot().groups())
      EXPECT_TRUE(routes.insert(request_class.name()).second);
    EXPECT_EQ(answer.snapshot().shards_size(), 4096);
  }
  EXPECT_EQ(routes.size(), static_cast<std::size_t>(kServers + kRequestClasses));
}

// The lists of servers per service alone exceeded the size limit of an answer, so that every page of the
// snapshot was rejected.
TEST(LargeFleetTest, SnapshotIsAnsweredWhenServicesListTheirServers) {
  constexpr int kServices = 800;
  LargeControl large(large_fleet_with_subsets(kServices, 200));
  ASSERT_TRUE(large.published);
  AdminAnswer first = large.answer("snapshot");
  EXPECT_EQ(first.error(), "");
  EXPECT_EQ(first.rows(), static_cast<unsigned>(kServers + kServices + kRequestClasses));
  AdminAnswer one = large.answer("snapshot name=service-799");
  ASSERT_EQ(one.snapshot().groups_size(), 1);
  EXPECT_EQ(one.snapshot().groups(0).subset_size(), 20u);
}

TEST(LargeFleetTest, FilterSelectsTheMatchingRows) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  EXPECT_EQ(large.answer("nodes zone=c").rows(), static_cast<unsigned>(kServers / 3));
  AdminAnswer one = large.answer("nodes zone=a name=server-6100 state=presumed");
  ASSERT_EQ(one.nodes_size(), 1);
  EXPECT_EQ(one.nodes(0).name(), "server-6100");
  EXPECT_EQ(one.rows_left_out(), 0u);
  AdminAnswer route = large.answer("snapshot state=healthy name=server-6100");
  EXPECT_EQ(route.snapshot().nodes_size(), 1);
  EXPECT_EQ(route.snapshot().groups_size(), 0);
}

TEST(LargeFleetTest, FilterWithoutMatchesAndPageBeyondTheEndReturnNoRowsAndTheRowCount) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  AdminAnswer none = large.answer("nodes zone=nowhere");
  EXPECT_EQ(none.error(), "");
  EXPECT_EQ(none.rows(), 0u);
  EXPECT_EQ(none.nodes_size(), 0);
  AdminAnswer beyond = large.answer("nodes page=900");
  EXPECT_EQ(beyond.error(), "");
  EXPECT_EQ(beyond.nodes_size(), 0);
  EXPECT_EQ(beyond.first_row(), 0u);
  EXPECT_EQ(beyond.rows_left_out(), static_cast<unsigned>(kServers));
}

TEST(SmallFleetTest, InvalidOptionIsRejectedWithAnErrorThatNamesIt) {
  LargeControl small(3);
  EXPECT_EQ(small.answer("nodes state=asleep").error(),
            "state 'asleep' is not one of presumed, ramping, serving, leaving, sick, mute, silent");
  EXPECT_EQ(small.answer("snapshot state=serving").error(),
            "state 'serving' is not one of healthy, draining, out");
  EXPECT_EQ(small.answer("nodes colour=red").error(),
            "nodes has no option 'colour'; available are zone, state, name, page");
  EXPECT_EQ(small.answer("nodes zone=").error(), "zone has no value");
  for (const char* page : {"0", "-1", "two", "1x", "99999999999999999999"}) {
    EXPECT_EQ(small.answer(std::string("nodes page=") + page).error(),
              std::string("page '") + page + "' is not a valid page number; pages start at 1");
  }
  EXPECT_EQ(small.answer("instances page=1").error(), "instances has no option 'page'");
  EXPECT_NE(small.answer("nodesque").error().find("unknown query"), std::string::npos);
}

TEST(SmallFleetTest, QueryWithoutOptionsReturnsAllRows) {
  LargeControl small(3);
  AdminAnswer answer = small.answer("nodes");
  EXPECT_EQ(answer.nodes_size(), 3);
  EXPECT_EQ(answer.pages(), 1u);
  EXPECT_EQ(answer.rows_left_out(), 0u);
}

}  // namespace
}  // namespace myrtlecroft::control
