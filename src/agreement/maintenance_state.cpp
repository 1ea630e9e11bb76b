#include "agreement/maintenance_state.h"

#include <algorithm>

#include "routing/server_registry.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::agreement {
namespace {

constexpr std::uint64_t kThousandthsPerServer = 1000;  // in a budget by count
constexpr std::size_t kMaxResults = 32;                // of commands; older ones are dropped

struct MaintenanceRule {
  MaintenancePhase phase;
  MaintenanceInput input;
  MaintenancePhase next;
};

// MAINTENANCE_GRANT, COMPLETE, EXTEND and FAIL have no row: they create, end or extend a lease.
constexpr MaintenanceRule kMaintenanceRules[] = {
    {MaintenancePhase::kDraining, MAINTENANCE_DRAINED, MaintenancePhase::kDrained},
    {MaintenancePhase::kDrained, MAINTENANCE_RESTART, MaintenancePhase::kRestarting},
    {MaintenancePhase::kRestarting, MAINTENANCE_RESTARTED, MaintenancePhase::kSlowStart},
    {MaintenancePhase::kDraining, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kDrained, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kRestarting, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kCancelling, MAINTENANCE_RESTARTED,
     MaintenancePhase::kSlowStart},  // it restarted before the cancellation reached it
};

bool is_serving(const routing_state::PersistedNode& node) {
  return node.state() == routing_state::stored_name(routing::ServerState::kServing);
}

}  // namespace

const char* name_of(MaintenancePhase phase) {
  constexpr const char* kNames[kMaintenancePhases] = {"emptying", "empty", "ordered", "warming", "returning"};
  return kNames[static_cast<std::size_t>(phase)];
}

bool MaintenanceState::has_changes(const Decision& decision) {
  return decision.has_budgets() || decision.trips_size() > 0 || decision.drains_size() > 0 ||
         decision.has_release() || decision.results_size() > 0;
}

bool MaintenanceState::apply(const Decision& decision, const Context& context) {
  orders_changed_ = false;
  if (decision.has_budgets()) {
    budgets_ = decision.budgets();
    capacities_.clear();
    for (const Capacity& capacity : budgets_.capacities()) capacities_[capacity.node()] = capacity.capacity();
  }
  for (const DrainStep& drain : decision.drains()) {
    if (drain.wanted() == drains_.contains(drain.node())) return false;
    drain.wanted() ? void(drains_.insert(drain.node())) : void(drains_.erase(drain.node()));
    auto lease = leases_.find(drain.node());
    bool drain_ends = !drain.wanted() && lease != leases_.end() && lease->second.reason == REASON_DRAIN;
    if (drain_ends && lease->second.is_out_of_rotation())
      enter_phase(lease->second, MaintenancePhase::kCancelling, context);
  }
  if (decision.has_release() && !apply_step(decision.release(), context)) return false;
  for (const MaintenanceStep& step : decision.trips()) {
    if (!apply_step(step, context)) return false;
  }
  // Leases whose server has weight 0 for the first time in this publication.
  for (const routing_state::NodeRoute& node : context.snapshot.nodes()) {
    auto lease = leases_.find(node.name());
    if (lease == leases_.end() || lease->second.zero_weight_publication != 0 ||
        !lease->second.is_out_of_rotation())
      continue;
    if (node.weight() == 0) lease->second.zero_weight_publication = context.snapshot.number();
  }
  std::vector<std::string> expired;
  for (const auto& [node, lease] : leases_) {
    if (lease.expires_at <= context.time) expired.push_back(node);
  }
  // This text is part of the replicated state: changing it would make replicas of different versions diverge.
  for (const std::string& node : expired) end_lease(node, "its permit ran out");
  for (const CommandResult& command_result : decision.results()) {
    if (result(command_result.id())) return false;
    results_.push_back(command_result);
    if (results_.size() > kMaxResults) results_.pop_front();
  }
  return true;
}

// ---- Maintenance leases

void MaintenanceState::enter_phase(MaintenanceLease& lease, MaintenancePhase phase, const Context& context) {
  if (lease.phase == MaintenancePhase::kRestarting && phase == MaintenancePhase::kCancelling)
    lease.cancelled_in_decision = context.number;
  orders_changed_ = orders_changed_ || lease.phase == MaintenancePhase::kRestarting ||
                    phase == MaintenancePhase::kRestarting;
  lease.phase = phase;
  lease.since = context.time;
}

void MaintenanceState::mark_failed(const std::string& node, const std::string& failure) {
  for (UpdatedServer& server : *release_.mutable_taken()) {
    if (server.node() == node) server.set_failed(failure);
  }
}

void MaintenanceState::end_lease(const std::string& node, const std::string& failure) {
  const MaintenanceLease& lease = leases_.at(node);
  orders_changed_ = orders_changed_ || lease.phase == MaintenancePhase::kRestarting;
  if (!failure.empty() && lease.reason != REASON_DRAIN) mark_failed(node, failure);
  leases_.erase(node);
}

std::uint64_t MaintenanceState::capacity_of(const std::string& node) const {
  auto found = capacities_.find(node);
  return found == capacities_.end() ? 0 : found->second;
}

bool MaintenanceState::is_unavailable(const std::string& node, const Nodes& nodes) const {
  auto known = nodes.find(node);
  return leases_.contains(node) || known == nodes.end() || !is_serving(known->second);
}

std::uint64_t MaintenanceState::unavailable_capacity(const Budget& budget, const Nodes& nodes) const {
  std::uint64_t out = 0;
  for (const std::string& node : budget.nodes()) {
    if (is_unavailable(node, nodes)) out += budget.by_count() ? kThousandthsPerServer : capacity_of(node);
  }
  return out;
}

// A server that is unhealthy or unresponsive and would not return by itself uses no further budget; one that
// is returning counts like any other. A budget of zero permits no maintenance at all.
const Budget* MaintenanceState::exceeded_budget(const std::string& node, const Nodes& nodes) const {
  bool already_unavailable = is_unavailable(node, nodes);
  auto known = nodes.find(node);
  bool unhealthy = known != nodes.end() &&
                   (known->second.state() == routing_state::stored_name(routing::ServerState::kUnhealthy) ||
                    known->second.state() == routing_state::stored_name(routing::ServerState::kUnresponsive));
  for (const Budget& budget : budgets_.budgets()) {
    if (std::find(budget.nodes().begin(), budget.nodes().end(), node) == budget.nodes().end()) continue;
    std::uint64_t added_capacity = already_unavailable ? 0
                                   : budget.by_count() ? kThousandthsPerServer
                                                       : capacity_of(node);
    if (budget.most() == 0 ||
        (!unhealthy && unavailable_capacity(budget, nodes) + added_capacity > budget.most()))
      return &budget;
  }
  return nullptr;
}

bool MaintenanceState::grant(const MaintenanceStep& step, const Context& context) {
  auto known = context.nodes.find(step.node());
  if (leases_.contains(step.node()) || known == context.nodes.end() || step.for_ns() <= 0) return false;
  if (capacity_of(step.node()) == 0 || exceeded_budget(step.node(), context.nodes)) return false;
  const UpdatedServer* updated = updated_server(step.node());
  switch (step.why()) {
    case REASON_DRAIN:
      if (!drains_.contains(step.node())) return false;
      break;
    case REASON_RELEASE:
      if (release_.phase() != PHASE_ROLLING || step.version() != release_.plan().version()) return false;
      if (updated) {
        if (!updated->failed().empty()) return false;
      } else {
        UpdatedServer& added = *release_.add_taken();
        added.set_node(step.node());
        added.set_from_version(known->second.version());
        added.set_wave(release_.wave());
      }
      break;
    case REASON_ROLLBACK:
      if (release_.phase() != PHASE_ROLLING_BACK || !updated || step.version() != updated->from_version())
        return false;
      break;
    default:
      return false;
  }
  leases_[step.node()] = {.phase = MaintenancePhase::kDraining,
                          .reason = step.why(),
                          .version = step.version(),
                          .incarnation = known->second.life(),
                          .zero_weight_publication = 0,
                          .cancelled_in_decision = 0,
                          .granted_at = context.time,
                          .since = context.time,
                          .expires_at = context.time + step.for_ns()};
  return true;
}

bool MaintenanceState::apply_step(const MaintenanceStep& step, const Context& context) {
  if (step.input() == MAINTENANCE_GRANT) return grant(step, context);
  auto found = leases_.find(step.node());
  if (found == leases_.end()) return false;
  MaintenanceLease& lease = found->second;
  switch (step.input()) {
    case MAINTENANCE_EXTEND:
      if (step.for_ns() <= 0) return false;
      lease.expires_at = context.time + step.for_ns();
      return true;
    case MAINTENANCE_FAIL:
      end_lease(step.node(), step.reason());
      return true;
    case MAINTENANCE_COMPLETE:
      if (!may_complete(step.node(), lease, context)) return false;
      end_lease(step.node(), "");
      return true;
    default:
      break;
  }
  if (!may_change_phase(step, lease, context)) return false;
  if (step.input() == MAINTENANCE_CANCEL && !step.reason().empty() && lease.reason != REASON_DRAIN)
    mark_failed(step.node(), step.reason());
  for (const MaintenanceRule& rule : kMaintenanceRules) {
    if (rule.phase != lease.phase || rule.input != step.input()) continue;
    enter_phase(lease, rule.next, context);
    return true;
  }
  return false;
}

// Whether the server is in service again, after its restart or, if the lease was cancelled, without one.
bool MaintenanceState::may_complete(const std::string& node, const MaintenanceLease& lease,
                                    const Context& context) {
  auto known = context.nodes.find(node);
  if (known == context.nodes.end() || !is_serving(known->second)) return false;
  bool same_incarnation = known->second.life() == lease.incarnation;
  return lease.phase == MaintenancePhase::kSlowStart ||
         (lease.phase == MaintenancePhase::kCancelling && same_incarnation);
}

bool MaintenanceState::may_change_phase(const MaintenanceStep& step, const MaintenanceLease& lease,
                                        const Context& context) {
  auto known = context.nodes.find(step.node());
  std::uint64_t incarnation = known == context.nodes.end() ? 0 : known->second.life();
  switch (step.input()) {
    case MAINTENANCE_DRAINED:
      return lease.zero_weight_publication != 0 && context.applied >= lease.zero_weight_publication;
    case MAINTENANCE_RESTART:
      return lease.reason != REASON_DRAIN && incarnation == lease.incarnation;
    case MAINTENANCE_RESTARTED:
      if (incarnation == lease.incarnation) return false;
      return lease.phase != MaintenancePhase::kRestarting || known->second.version() == lease.version;
    case MAINTENANCE_CANCEL:
      return true;
    default:
      return false;
  }
}

std::set<std::string> MaintenanceState::out_for_maintenance() const {
  std::set<std::string> out;
  for (const auto& [node, lease] : leases_) {
    if (lease.is_out_of_rotation()) out.insert(node);
  }
  return out;
}

const CommandResult* MaintenanceState::result(std::uint64_t id) const {
  for (const CommandResult& result : results_) {
    if (result.id() == id) return &result;
  }
  return nullptr;
}

}  // namespace myrtlecroft::agreement
