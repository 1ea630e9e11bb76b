// What may be out of the fleet at this moment, as whoever decides measures it: by fleet, zone, request class
// and service below, and at the load of the moment. No I/O.
//
// What is agreed has a check of its own (agreement/outings); this one is by what servers say.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

// In thousandths, as it is agreed on.
std::uint64_t capacity_of(const fleet::Node& node);
// The fleet file's budgets, for all instances to agree on.
agreement::Budgets budgets_of(const fleet::Fleet& fleet);

class DisruptionBudget {
 public:
  // `chosen`: servers that are out by agreement, wherever they stand.
  DisruptionBudget(const fleet::Fleet& fleet, const std::vector<routing::ServerStatus>& servers,
                   const std::set<std::string>& chosen);

  // Why a server may not go out now; empty: it may.
  std::string refusal(const std::string& node, double reserve) const;
  // It goes: others are looked at as if it had gone already.
  void take(const std::string& node);

  struct Usage {
    std::string name;
    double max = 0;  // of capacity, or servers
    double out = 0;
    double chosen = 0;  // of that
    double all = 0;
  };
  std::vector<Usage> usage() const;

 private:
  struct Part {
    Usage usage;
    bool by_count = false;
    std::set<std::string> nodes;
  };
  void add(const std::string& name, const fleet::MaxUnavailable& max, std::set<std::string> nodes);
  double counts(const Part& part, const std::string& node) const;

  std::map<std::string, double> capacities_;
  std::map<std::string, double> limits_;
  std::set<std::string> out_;
  std::set<std::string> stuck_;  // of these, for their health
  std::vector<Part> parts_;
  double busy_ = 0;   // requests that run or wait, with a part for what is rejected
  double whole_ = 0;  // that could run at once at servers that are in service and warm, by their own measure
};

}  // namespace myrtlecroft::releases
