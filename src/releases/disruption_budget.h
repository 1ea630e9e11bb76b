// Decides from the servers' reports whether one more server may be taken out of service now: within the
// limits of the fleet, the zones, the request classes and the services that servers use, and at the current
// load. Called by MaintenanceGrants and the operators' commands, and by the control service to answer
// queries; on the control loop's thread. Owns a copy of the figures that it needs. No I/O.
//
// The replicated state checks every grant again, by agreed state only (agreement/maintenance_state.h).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

// Returns a server's capacity in thousandths, the unit of the agreed state; at least 1.
std::uint64_t capacity_in_thousandths(const fleet::Node& node);

// Converts the budgets of the fleet file to the message that all control replicas agree on.
agreement::Budgets budgets_of(const fleet::Fleet& fleet);

// Why a server may not be taken out of service now.
struct BudgetError {
  enum class Kind {
    kBudgetUsedUp,       // one more unavailable server would exceed the limit of a scope
    kTooLittleCapacity,  // the remaining servers can't run the load and keep the reserve
  };
  Kind kind = Kind::kBudgetUsedUp;
  std::string budget;  // kBudgetUsedUp: name of the scope
  // kBudgetUsedUp: unavailable capacity or servers of the scope. kTooLittleCapacity: requests that run or are
  // queued.
  double used = 0;
  // kBudgetUsedUp: capacity or servers of the scope that may be unavailable. kTooLittleCapacity: requests
  // that the remaining servers can run.
  double limit = 0;
  double reserve = 0;  // kTooLittleCapacity: share of `limit` that must stay free

  // One line for operators.
  std::string text() const;
};

// Checks the budgets of all scopes (the fleet, a zone, a request class or a service) and the load. Not
// thread-safe.
class DisruptionBudget {
 public:
  // `leased`: servers with a maintenance lease, in any phase.
  DisruptionBudget(const fleet::Fleet& fleet, const std::vector<routing::ServerStatus>& servers,
                   const std::set<std::string>& leased);

  // Returns why this server may not be taken out; no value: it may. `reserve` is the share of the remaining
  // capacity that must stay free.
  std::optional<BudgetError> check(const std::string& node, double reserve) const;
  // Counts a server as unavailable in all later checks.
  void mark_unavailable(const std::string& node);

  // Usage of one budget, in capacity, or in servers for a budget that counts servers.
  struct Usage {
    std::string name;
    double max = 0;                      // may be unavailable
    double out = 0;                      // unavailable for any reason
    double voluntarily_unavailable = 0;  // of `out`: with a maintenance lease
    double all = 0;                      // total of this scope
  };
  // Returns the usage of every budget.
  std::vector<Usage> usage() const;

 private:
  struct Scope {
    Usage usage;
    bool by_count = false;
    std::set<std::string> nodes;
  };
  void add_server(const routing::ServerStatus& server, bool is_leased);
  void add_scope(const std::string& name, const fleet::MaxUnavailable& max, std::set<std::string> nodes);
  // Returns a server's share of a scope's usage: its capacity, or 1 for a budget that counts servers.
  double weight_in_scope(const Scope& scope, const std::string& node) const;
  std::optional<BudgetError> check_scopes(const std::string& node) const;
  std::optional<BudgetError> check_load(const std::string& node, double reserve) const;

  std::map<std::string, double> capacities_;
  std::map<std::string, double> concurrency_limits_;  // by server, in requests
  std::set<std::string> unavailable_;
  std::set<std::string> faulty_;  // of `unavailable_`: unhealthy or unresponsive
  std::vector<Scope> scopes_;
  double load_ = 0;             // requests that run or are queued, and retries of rejected ones
  double available_limit_ = 0;  // sum of the concurrency limits of servers in full service
};

}  // namespace myrtlecroft::releases
