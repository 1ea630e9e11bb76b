#include "releases/disruption_budget.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

constexpr double kThousandths = 1000;
constexpr double kRounding = 1e-9;  // tolerance when sums of capacities are compared

// Calls `visit` with the name, limit and servers of each scope that has a limit of its own. The names are
// part of the agreed state.
template <class Visit>
void for_each_scope(const fleet::Fleet& fleet, Visit visit) {
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

// Callers retry rejected requests, also at other servers. The load grows by the share that is rejected, so
// that a request counts once and not each time that it is received.
double load_of(const routing::ServerStatus& server) {
  if (server.last_report_at == 0) return 0;
  double received = server.reported.received.read(server.last_report_at);
  double rejected =
      received > 1 ? std::min(1.0, server.reported.rejected.read(server.last_report_at) / received) : 0;
  return server.mean_requests(server.last_report_at) * (1 + rejected);
}

}  // namespace

std::uint64_t capacity_in_thousandths(const fleet::Node& node) {
  return std::max(1u, to_thousandths(node.capacity));
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
  for_each_scope(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
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
                        ? to_thousandths(max.max)
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
  for_each_scope(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
                            std::set<std::string> nodes) { add_scope(name, max, std::move(nodes)); });
  for (Scope& scope : scopes_) {
    for (const std::string& node : scope.nodes) {
      if (leased.contains(node)) scope.usage.voluntarily_unavailable += weight_in_scope(scope, node);
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

void DisruptionBudget::add_scope(const std::string& name, const fleet::MaxUnavailable& max,
                                 std::set<std::string> nodes) {
  Scope scope{.usage = {.name = name}, .by_count = max.by_count, .nodes = std::move(nodes)};
  for (const std::string& node : scope.nodes) {
    scope.usage.all += weight_in_scope(scope, node);
    if (unavailable_.contains(node)) scope.usage.out += weight_in_scope(scope, node);
  }
  // Rounded to thousandths like the agreed budget.
  scope.usage.max =
      max.by_count ? max.max : std::round(max.max * scope.usage.all * kThousandths) / kThousandths;
  scopes_.push_back(std::move(scope));
}

double DisruptionBudget::weight_in_scope(const Scope& scope, const std::string& node) const {
  auto found = capacities_.find(node);
  if (found == capacities_.end()) return 0;
  return scope.by_count ? 1 : found->second;
}

std::optional<BudgetError> DisruptionBudget::check(const std::string& node, double reserve) const {
  if (auto error = check_scopes(node)) return error;
  return check_load(node, reserve);
}

std::optional<BudgetError> DisruptionBudget::check_scopes(const std::string& node) const {
  bool already_unavailable = unavailable_.contains(node);
  for (const Scope& scope : scopes_) {
    if (!scope.nodes.contains(node)) continue;
    double additional = already_unavailable ? 0 : weight_in_scope(scope, node);
    // A faulty server runs no requests, and a restart may repair it.
    bool within_budget =
        faulty_.contains(node) || scope.usage.out + additional <= scope.usage.max + kRounding;
    if (scope.usage.max > kRounding && within_budget) continue;
    return BudgetError{.kind = BudgetError::Kind::kBudgetUsedUp,
                       .budget = scope.usage.name,
                       .used = scope.usage.out,
                       .limit = scope.usage.max};
  }
  return std::nullopt;
}

// Compares the current load with the capacity of the remaining servers: a fully loaded fleet must not lose
// more servers. This delays a release for as long as capacity is short, which is intended.
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
  for (Scope& scope : scopes_) {
    if (!scope.nodes.contains(node)) continue;
    scope.usage.out += weight_in_scope(scope, node);
    scope.usage.voluntarily_unavailable += weight_in_scope(scope, node);
  }
}

std::vector<DisruptionBudget::Usage> DisruptionBudget::usage() const {
  std::vector<Usage> out;
  for (const Scope& scope : scopes_) out.push_back(scope.usage);
  return out;
}

}  // namespace myrtlecroft::releases
