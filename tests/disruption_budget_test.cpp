// Tests which servers may be taken out of service under the limits of all scopes and the load.
#include "releases/disruption_budget.h"

#include <gtest/gtest.h>

#include "releases_fakes.h"

namespace myrtlecroft::releases {
namespace {

// Returns the scope whose budget rejects this server, empty if none does. The error's text must name the
// scope.
std::string exhausted_scope(const DisruptionBudget& budget, const std::string& node) {
  std::optional<BudgetError> error = budget.check(node, 0.1);
  if (!error || error->kind != BudgetError::Kind::kBudgetUsedUp) return "";
  EXPECT_NE(error->text().find(error->budget), std::string::npos) << error->text();
  return error->budget;
}

TEST(DisruptionBudgetTest, ServerIsRejectedByTheFirstScopeWhoseBudgetIsUsedUp) {
  fleet::Fleet fleet = fleet_of(6, {.by_count = true, .max = 4});
  fleet.maintenance.zone_max_unavailable = {.by_count = false, .max = 0.34};
  fleet.services.push_back(
      {.name = "ledger", .used_by = {"n1", "n2", "n4"}, .max_unavailable = {.by_count = true, .max = 1}});
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(server_of(node));
  DisruptionBudget budget(fleet, servers, {});
  EXPECT_EQ(budget.check("n1", 0.1), std::nullopt);
  budget.mark_unavailable("n1");
  EXPECT_EQ(exhausted_scope(budget, "n3"), "zone a");
  EXPECT_EQ(exhausted_scope(budget, "n2"), "service ledger");
  EXPECT_EQ(budget.check("n6", 0.1), std::nullopt);
}

TEST(DisruptionBudgetTest, ServerIsRejectedWhenTheOthersCannotCarryTheLoad) {
  fleet::Fleet fleet = fleet_of(4);
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(server_of(node, 2.6, 4));
  EXPECT_EQ(DisruptionBudget(fleet, servers, {}).check("n1", 0.1), std::nullopt)
      << "load 10.4 is within the capacity of 12 less a reserve of a tenth";
  std::optional<BudgetError> error = DisruptionBudget(fleet, servers, {}).check("n1", 0.2);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, BudgetError::Kind::kTooLittleCapacity);
  EXPECT_NE(error->text().find("load"), std::string::npos);
}

TEST(DisruptionBudgetTest, FaultyServerMayBeTakenOutWhereAHealthyOneMayNot) {
  fleet::Fleet fleet = fleet_of(4, {.by_count = true, .max = 1});
  std::vector<routing::ServerStatus> servers;
  for (const fleet::Node& node : fleet.nodes) servers.push_back(server_of(node));
  servers[2].state = routing::ServerState::kUnresponsive;
  DisruptionBudget budget(fleet, servers, {});
  EXPECT_EQ(budget.check("n3", 0.1), std::nullopt);
  EXPECT_NE(budget.check("n1", 0.1), std::nullopt);
  servers[1].state = routing::ServerState::kSlowStart;
  EXPECT_NE(DisruptionBudget(fleet, servers, {}).check("n2", 0.1), std::nullopt)
      << "a server in slow start is not faulty, and the budget is used up";
}

}  // namespace
}  // namespace myrtlecroft::releases
