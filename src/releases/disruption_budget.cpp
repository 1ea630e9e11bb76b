#include "releases/disruption_budget.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

constexpr double kThousandths = 1000;
constexpr double kRounding = 1e-9;  // sums of capacities that differ by less are equal

// Calls `visit` for each part of the fleet that has a limit of its own. The names are part of the agreed
// state.
template <class Visit>
void for_each_part(const fleet::Fleet& fleet, Visit visit) {
  std::set<std::string> all;
  std::map<std::string, std::set<std::string>> zones;
  for (const fleet::Node& node : fleet.nodes) {
    all.insert(node.name);
    zones[node.zone].insert(node.name);
  }
  visit("fleet", fleet.maintenance.max_unavailable, all);
  for (const auto& [zone, nodes] : zones)
    visit("zone " + zone, fleet.maintenance.zone_max_unavailable, nodes);
  for (const fleet::RequestClass& request_class : fleet.request_classes) {
    if (request_class.max_unavailable != fleet::MaxUnavailable{})
      visit("group " + request_class.name, request_class.max_unavailable, all);
  }
  for (const fleet::Service& service : fleet.services) {
    visit("service " + service.name, service.max_unavailable,
          std::set<std::string>(service.used_by.begin(), service.used_by.end()));
  }
}

bool is_faulty(const routing::ServerStatus& server) {
  return server.state == routing::ServerState::kUnhealthy ||
         server.state == routing::ServerState::kUnresponsive;
}

// Rejected requests come again, at other servers too. Each counts once for the share that is rejected, not as
// often as it is received.
double load_of(const routing::ServerStatus& server) {
  if (server.last_report_at == 0) return 0;
  double received = server.reported.received.read(server.last_report_at);
  double rejected =
      received > 1 ? std::min(1.0, server.reported.rejected.read(server.last_report_at) / received) : 0;
  return server.mean_requests(server.last_report_at) * (1 + rejected);
}

}  // namespace

std::uint64_t capacity_in_thousandths(const fleet::Node& node) {
  return std::max(1u, thousandths(node.capacity));
}

agreement::Budgets budgets_of(const fleet::Fleet& fleet) {
  agreement::Budgets out;
  std::map<std::string, std::uint64_t> capacities;
  for (const fleet::Node& node : fleet.nodes) {
    agreement::Capacity& one = *out.add_capacities();
    one.set_node(node.name);
    one.set_capacity(capacity_in_thousandths(node));
    capacities[node.name] = one.capacity();
  }
  for_each_part(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
                           const std::set<std::string>& nodes) {
    agreement::Budget& budget = *out.add_budgets();
    budget.set_name(name);
    budget.set_by_count(max.by_count);
    std::uint64_t all = 0;
    for (const std::string& node : nodes) {
      budget.add_nodes(node);
      all += capacities[node];
    }
    budget.set_most(max.by_count
                        ? thousandths(max.max)
                        : static_cast<std::uint64_t>(std::llround(max.max * static_cast<double>(all))));
  });
  return out;
}

std::string BudgetError::text() const {
  char line[200];
  switch (kind) {
    case Kind::kBudgetUsedUp:
      std::snprintf(line, sizeof line, "%s: %.2f unavailable, limit %.2f", budget.c_str(), used, limit);
      break;
    case Kind::kTooLittleCapacity:
      std::snprintf(
          line, sizeof line,
          "load: %.1f requests run or are queued, the remaining servers can run %.1f, reserve %.0f%%", used,
          limit, 100 * reserve);
      break;
  }
  return line;
}

DisruptionBudget::DisruptionBudget(const fleet::Fleet& fleet,
                                   const std::vector<routing::ServerStatus>& servers,
                                   const std::set<std::string>& leased) {
  for (const routing::ServerStatus& server : servers) add_server(server, leased.contains(server.node.name));
  for_each_part(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
                           std::set<std::string> nodes) { add_part(name, max, std::move(nodes)); });
  for (Part& part : parts_) {
    for (const std::string& node : part.nodes) {
      if (leased.contains(node)) part.usage.voluntarily_unavailable += weight_of(part, node);
    }
  }
}

void DisruptionBudget::add_server(const routing::ServerStatus& server, bool is_leased) {
  const std::string& name = server.node.name;
  capacities_[name] = server.node.capacity;
  concurrency_limits_[name] = server.report.limit;
  load_ += load_of(server);
  if (!is_leased && server.at_full_capacity()) {
    available_limit_ += server.report.limit;
    return;
  }
  unavailable_.insert(name);
  if (is_faulty(server)) faulty_.insert(name);
}

void DisruptionBudget::add_part(const std::string& name, const fleet::MaxUnavailable& max,
                                std::set<std::string> nodes) {
  Part part{.usage = {.name = name}, .by_count = max.by_count, .nodes = std::move(nodes)};
  for (const std::string& node : part.nodes) {
    part.usage.all += weight_of(part, node);
    if (unavailable_.contains(node)) part.usage.out += weight_of(part, node);
  }
  // Rounded to the same thousandth as the agreed budget.
  part.usage.max =
      max.by_count ? max.max : std::round(max.max * part.usage.all * kThousandths) / kThousandths;
  parts_.push_back(std::move(part));
}

double DisruptionBudget::weight_of(const Part& part, const std::string& node) const {
  auto found = capacities_.find(node);
  if (found == capacities_.end()) return 0;
  return part.by_count ? 1 : found->second;
}

std::optional<BudgetError> DisruptionBudget::check(const std::string& node, double reserve) const {
  if (auto error = check_parts(node)) return error;
  return check_load(node, reserve);
}

std::optional<BudgetError> DisruptionBudget::check_parts(const std::string& node) const {
  bool counted = unavailable_.contains(node);
  for (const Part& part : parts_) {
    if (!part.nodes.contains(node)) continue;
    double more = counted ? 0 : weight_of(part, node);
    // A faulty server carries nothing, and restarting it may mend it.
    bool fits = faulty_.contains(node) || part.usage.out + more <= part.usage.max + kRounding;
    if (part.usage.max > kRounding && fits) continue;
    return BudgetError{.kind = BudgetError::Kind::kBudgetUsedUp,
                       .budget = part.usage.name,
                       .used = part.usage.out,
                       .limit = part.usage.max};
  }
  return std::nullopt;
}

// At the load of the moment: a fleet that is full already must not lose more. This may hold a release up for
// as long as capacity is short, which is when it should wait.
std::optional<BudgetError> DisruptionBudget::check_load(const std::string& node, double reserve) const {
  auto limit = concurrency_limits_.find(node);
  if (unavailable_.contains(node) || limit == concurrency_limits_.end()) return std::nullopt;
  double remaining = available_limit_ - limit->second;
  if (load_ <= (1 - reserve) * remaining) return std::nullopt;
  return BudgetError{.kind = BudgetError::Kind::kTooLittleCapacity,
                     .budget = "",
                     .used = load_,
                     .limit = remaining,
                     .reserve = reserve};
}

void DisruptionBudget::mark_unavailable(const std::string& node) {
  if (!unavailable_.insert(node).second) return;
  available_limit_ -= concurrency_limits_[node];
  for (Part& part : parts_) {
    if (!part.nodes.contains(node)) continue;
    part.usage.out += weight_of(part, node);
    part.usage.voluntarily_unavailable += weight_of(part, node);
  }
}

std::vector<DisruptionBudget::Usage> DisruptionBudget::usage() const {
  std::vector<Usage> out;
  for (const Part& part : parts_) out.push_back(part.usage);
  return out;
}

}  // namespace myrtlecroft::releases
