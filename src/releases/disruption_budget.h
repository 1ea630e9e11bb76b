// Whether one more server may be taken out of service now, by what servers report: within the limits of the
// fleet, the zones, the request classes and the services that servers use, and at the load of the moment.
// Called by MaintenanceGrants and the operators' commands, and by control for its answers; on the control
// loop's thread. Owns a copy of the figures that it needs. No I/O.
//
// The replicated state checks every grant once more, by what is agreed alone (agreement/maintenance_state.h).
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

// A server's capacity in thousandths, as it is agreed on; at least 1.
std::uint64_t capacity_in_thousandths(const fleet::Node& node);

// The budgets of the fleet file, in the form in which all control replicas agree on them.
agreement::Budgets budgets_of(const fleet::Fleet& fleet);

// Why a server may not be taken out of service now.
struct BudgetError {
  enum class Kind {
    kBudgetUsedUp,       // one more would exceed what may be unavailable of a part of the fleet
    kTooLittleCapacity,  // the remaining servers could not carry the load and keep the reserve
  };
  Kind kind = Kind::kBudgetUsedUp;
  std::string budget;  // of kBudgetUsedUp: the part of the fleet
  double used = 0;     // unavailable capacity or servers of that part; else requests that run or are queued
  double limit = 0;    // what may be unavailable of it; else requests that the remaining servers can run
  double reserve = 0;  // of kTooLittleCapacity: the share of `limit` that must stay free

  std::string text() const;
};

class DisruptionBudget {
 public:
  // `leased`: servers that are out by agreement, in whichever phase.
  DisruptionBudget(const fleet::Fleet& fleet, const std::vector<routing::ServerStatus>& servers,
                   const std::set<std::string>& leased);

  // Whether this server may be taken out; `reserve` is the share of the remaining capacity that must stay
  // free.
  std::optional<BudgetError> check(const std::string& node, double reserve) const;
  // Counts a server as unavailable in the checks that follow.
  void mark_unavailable(const std::string& node);

  // How far one budget is used up, in capacity, or in servers for a budget that counts them.
  struct Usage {
    std::string name;
    double max = 0;                      // that may be unavailable
    double out = 0;                      // unavailable for any reason
    double voluntarily_unavailable = 0;  // of these, by agreement
    double all = 0;                      // in this part of the fleet
  };
  std::vector<Usage> usage() const;

 private:
  struct Part {
    Usage usage;
    bool by_count = false;
    std::set<std::string> nodes;
  };
  void add_server(const routing::ServerStatus& server, bool is_leased);
  void add_part(const std::string& name, const fleet::MaxUnavailable& max, std::set<std::string> nodes);
  // What this server counts in a part: its capacity, or 1.
  double weight_of(const Part& part, const std::string& node) const;
  std::optional<BudgetError> check_parts(const std::string& node) const;
  std::optional<BudgetError> check_load(const std::string& node, double reserve) const;

  std::map<std::string, double> capacities_;
  std::map<std::string, double> concurrency_limits_;  // requests that a server can run at once
  std::set<std::string> unavailable_;
  std::set<std::string> faulty_;  // of these, unhealthy or unresponsive
  std::vector<Part> parts_;
  double load_ = 0;             // requests that run or are queued, and repeats of rejected ones
  double available_limit_ = 0;  // sum of the concurrency limits of servers in full service
};

}  // namespace myrtlecroft::releases
