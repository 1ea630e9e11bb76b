// Parts of the capacity measurement over real sockets: the generated fleet, the callers that a change
// touches, and the owners of key shards.
#include <gtest/gtest.h>

#include <set>

#include "capacity/change_watch.h"
#include "capacity/real_fleet.h"
#include "capacity/real_servers.h"
#include "capacity/shard_owners.h"

namespace myrtlecroft::capacity {
namespace {

using standin::AppliedSet;

FleetPlan plan_with_subsetting() {
  FleetPlan plan;
  plan.servers = 500;
  plan.services = 300;
  plan.subset_size = 20;
  return plan;
}

AppliedSet make_applied_set(const std::vector<int>& servers) {
  auto body = std::make_shared<AppliedSet::Endpoints>();
  for (int server : servers) body->add_endpoints()->mutable_locality()->set_sub_zone(name_of_server(server));
  AppliedSet out;
  out.endpoints["group/s1"] = body;
  return out;
}

TEST(FleetChoices, EqualPlansGiveEqualChoices) {
  FleetChoices one(plan_with_subsetting());
  FleetChoices other(plan_with_subsetting());
  EXPECT_EQ(one.services_of(17), other.services_of(17));
  EXPECT_EQ(one.servers_of(17), other.servers_of(17));
  EXPECT_NE(one.servers_of(17), one.servers_of(18));
}

TEST(FleetChoices, PopularServicesAreUsedByManyCallersAndEachCallerUsesEight) {
  FleetChoices choices(plan_with_subsetting());
  int of_first = 0;
  int of_last = 0;
  for (int caller = 1; caller <= 1000; ++caller) {
    std::vector<int> services = choices.services_of(caller);
    EXPECT_EQ(std::set<int>(services.begin(), services.end()).size(), 8u);
    for (int service : services) of_first += service == 1, of_last += service == 300;
  }
  EXPECT_GT(of_first, 10 * of_last);
}

TEST(FleetFile, ServersOfAServiceAreNamedOnlyWithSubsets) {
  EXPECT_NE(fleet_file(plan_with_subsetting()).find("servers = ("), std::string::npos);
  EXPECT_EQ(fleet_file(FleetPlan{}).find("servers = ("), std::string::npos);
}

TEST(ReportOfAHollowServer, IsDecodedUnchangedByControl) {
  std::vector<report::LoadReport> read;
  report::FrameError malformed{};
  std::string frame = report::encode(make_report(3, 4));
  EXPECT_EQ(report::decode(
                frame, [&](report::LoadReport one) { read.push_back(one); }, malformed),
            frame.size());
  ASSERT_EQ(read.size(), 1u);
  EXPECT_EQ(read[0], make_report(3, 4));
}

TEST(ChangeTracker, ChangeTouchesCallersWithTheServerAndIsInForceOnceItIsRemoved) {
  ChangeTracker tracker;
  tracker.record_applied_set(1, make_applied_set({1, 2, 3}), 10);
  tracker.record_applied_set(2, make_applied_set({2, 3}), 10);
  tracker.expect({1}, false);
  EXPECT_EQ(tracker.progress().touched, 1u);
  EXPECT_EQ(tracker.stale(), 1u);
  tracker.record_applied_set(1, make_applied_set({1, 3}), 20);  // a different change
  EXPECT_EQ(tracker.progress().in_force, 0u);
  tracker.record_applied_set(1, make_applied_set({3, 4}), 30);
  EXPECT_EQ(tracker.progress().in_force, 1u);
  EXPECT_EQ(tracker.in_force_at_ns(), std::vector<std::int64_t>{30});
  EXPECT_EQ(tracker.stale(), 0u);
}

TEST(ChangeTracker, CallerIsStaleWhenItReaddsAServerThatLeft) {
  ChangeTracker tracker;
  tracker.record_applied_set(1, make_applied_set({1, 2}), 10);
  tracker.expect({1}, false);
  tracker.record_applied_set(1, make_applied_set({2}), 20);
  tracker.record_applied_set(1, make_applied_set({1, 2}), 30);
  EXPECT_EQ(tracker.progress().in_force, 1u);
  EXPECT_EQ(tracker.stale(), 1u);
}

TEST(ChangeTracker, ReturnIsInForceOnceTheCallerHasAllLostServersAgain) {
  ChangeTracker tracker;
  tracker.record_applied_set(1, make_applied_set({1, 2, 3}), 10);
  tracker.record_applied_set(2, make_applied_set({3}), 10);
  tracker.expect({1, 2, 4}, false);
  tracker.record_applied_set(1, make_applied_set({3}), 20);
  tracker.expect({1, 2, 4}, true);
  EXPECT_EQ(tracker.progress().touched, 1u);
  tracker.record_applied_set(1, make_applied_set({1, 3}), 30);
  EXPECT_EQ(tracker.progress().in_force, 0u);
  tracker.record_applied_set(1, make_applied_set({1, 2, 3}), 40);
  EXPECT_EQ(tracker.in_force_at_ns(), std::vector<std::int64_t>{40});
}

TEST(ChangeTracker, OwnClusterOfAServerThatLeftIsIgnored) {
  ChangeTracker tracker;
  AppliedSet set = make_applied_set({1, 2});
  set.endpoints["node/n1"] = make_applied_set({1}).endpoints.begin()->second;
  tracker.record_applied_set(1, set, 10);
  tracker.expect({1}, false);
  set.endpoints["group/s1"] = make_applied_set({2}).endpoints.begin()->second;
  tracker.record_applied_set(1, set, 20);
  EXPECT_EQ(tracker.progress().in_force, 1u);
}

hollow::ShardOwner shard_owner(const std::string& route, const std::string& pattern,
                               const std::string& owner) {
  hollow::ShardOwner out;
  out.set_route(route);
  out.set_pattern(pattern);
  out.set_owner(owner);
  return out;
}

TEST(ShardOwners, ShardThatTwoRoutesSendToDifferentServersIsDoubled) {
  EXPECT_EQ(shards_with_two_owners({shard_owner("s4", "(?i)(?:0[01]|10).*", "node/n1"),
                                    shard_owner("s4", "(?i)(?:0[12]).*", "node/n2"),
                                    shard_owner("s8", "(?i)(?:00).*", "node/n3")},
                                   2),
            1);
}

TEST(ShardOwners, OneOwnerUnderTwoPatternsIsNotDoubled) {
  EXPECT_EQ(shards_with_two_owners({shard_owner("s4", "(?i)(?:0[01]).*", "node/n1"),
                                    shard_owner("s4", "(?i)(?:0[12]).*", "node/n1")},
                                   2),
            0);
}

}  // namespace
}  // namespace myrtlecroft::capacity
