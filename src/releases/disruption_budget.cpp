#include "releases/disruption_budget.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

constexpr double kThousandths = 1000;
constexpr double kNothing = 1e-9;

// Each part of the fleet that has a bound of its own.
template <class Tell>
void each_part(const fleet::Fleet& fleet, Tell tell) {
  std::set<std::string> all;
  std::map<std::string, std::set<std::string>> zones;
  for (const fleet::Node& node : fleet.nodes) {
    all.insert(node.name);
    zones[node.zone].insert(node.name);
  }
  tell("fleet", fleet.outings.max_unavailable, all);
  for (const auto& [zone, nodes] : zones) tell("zone " + zone, fleet.outings.zone_max_unavailable, nodes);
  for (const fleet::RequestClass& request_class : fleet.request_classes) {
    if (request_class.max_unavailable != fleet::MaxUnavailable{})
      tell("group " + request_class.name, request_class.max_unavailable, all);
  }
  for (const fleet::Service& service : fleet.services) {
    tell("service " + service.name, service.max_unavailable,
         std::set<std::string>(service.used_by.begin(), service.used_by.end()));
  }
}

}  // namespace

std::uint64_t capacity_of(const fleet::Node& node) { return std::max(1u, thousandths(node.capacity)); }

agreement::Budgets budgets_of(const fleet::Fleet& fleet) {
  agreement::Budgets out;
  std::map<std::string, std::uint64_t> capacities;
  for (const fleet::Node& node : fleet.nodes) {
    agreement::Capacity& one = *out.add_capacities();
    one.set_node(node.name);
    one.set_capacity(capacity_of(node));
    capacities[node.name] = one.capacity();
  }
  each_part(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
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

DisruptionBudget::DisruptionBudget(const fleet::Fleet& fleet,
                                   const std::vector<routing::ServerStatus>& servers,
                                   const std::set<std::string>& chosen) {
  for (const routing::ServerStatus& server : servers) {
    capacities_[server.node.name] = server.node.capacity;
    limits_[server.node.name] = server.report.limit;
    if (chosen.contains(server.node.name) || !server.whole()) {
      out_.insert(server.node.name);
      if (server.state == routing::ServerState::kUnhealthy ||
          server.state == routing::ServerState::kUnresponsive)
        stuck_.insert(server.node.name);
    } else {
      whole_ += server.report.limit;
    }
    if (server.heard_at == 0) continue;
    // What is rejected comes again, elsewhere too: counted once for each share rejected, and not as often as
    // it is read.
    double read = server.read.read(server.heard_at);
    double rejected = read > 1 ? std::min(1.0, server.rejected.read(server.heard_at) / read) : 0;
    busy_ += server.asked_of(server.heard_at) * (1 + rejected);
  }
  each_part(fleet, [&](const std::string& name, const fleet::MaxUnavailable& max,
                       std::set<std::string> nodes) { add(name, max, std::move(nodes)); });
  for (Part& part : parts_) {
    for (const std::string& node : part.nodes) {
      if (chosen.contains(node)) part.usage.chosen += counts(part, node);
    }
  }
}

void DisruptionBudget::add(const std::string& name, const fleet::MaxUnavailable& max,
                           std::set<std::string> nodes) {
  Part part{.usage = {.name = name}, .by_count = max.by_count, .nodes = std::move(nodes)};
  for (const std::string& node : part.nodes) {
    part.usage.all += counts(part, node);
    if (out_.contains(node)) part.usage.out += counts(part, node);
  }
  // To the same thousandth as what is agreed.
  part.usage.max =
      max.by_count ? max.max : std::round(max.max * part.usage.all * kThousandths) / kThousandths;
  parts_.push_back(std::move(part));
}

double DisruptionBudget::counts(const Part& part, const std::string& node) const {
  auto found = capacities_.find(node);
  return found == capacities_.end() ? 0 : part.by_count ? 1 : found->second;
}

std::string DisruptionBudget::refusal(const std::string& node, double reserve) const {
  bool already = out_.contains(node);
  char line[160];
  for (const Part& part : parts_) {
    if (!part.nodes.contains(node)) continue;
    double more = already ? 0 : counts(part, node);
    bool fits = stuck_.contains(node) || part.usage.out + more <= part.usage.max + kNothing;
    if (part.usage.max > kNothing && fits) continue;
    std::snprintf(line, sizeof line, "%s: %.2f of %.2f that may be out is out", part.usage.name.c_str(),
                  part.usage.out, part.usage.max);
    return line;
  }
  // Reserve at the load of the moment: a fleet that is full already must not lose more. Could hold a release
  // up for as long as the fleet is short, which is when it should wait.
  auto limit = limits_.find(node);
  if (already || limit == limits_.end()) return "";
  double stays = whole_ - limit->second;
  if (busy_ <= (1 - reserve) * stays) return "";
  std::snprintf(line, sizeof line,
                "load: %.1f exchanges run or wait, %.1f could run without it, %.0f%% to spare", busy_, stays,
                100 * reserve);
  return line;
}

void DisruptionBudget::take(const std::string& node) {
  if (!out_.insert(node).second) return;
  whole_ -= limits_[node];
  for (Part& part : parts_) {
    if (!part.nodes.contains(node)) continue;
    part.usage.out += counts(part, node);
    part.usage.chosen += counts(part, node);
  }
}

std::vector<DisruptionBudget::Usage> DisruptionBudget::usage() const {
  std::vector<Usage> out;
  for (const Part& part : parts_) out.push_back(part.usage);
  return out;
}

}  // namespace myrtlecroft::releases
