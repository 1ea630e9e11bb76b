#include "agreement/maintenance_state.h"

#include <algorithm>

#include "routing/server_registry.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::agreement {
namespace {

constexpr std::uint64_t kOne = 1000;     // thousandths
constexpr std::size_t kMaxResults = 32;  // of commands, that are still known

struct MaintenanceRule {
  MaintenancePhase phase;
  MaintenanceInput input;
  MaintenancePhase next;
};

// A grant, a server that is warm, an extension and giving up have no row: they begin, end or keep a place.
constexpr MaintenanceRule kMaintenanceRules[] = {
    {MaintenancePhase::kDraining, MAINTENANCE_DRAINED, MaintenancePhase::kDrained},
    {MaintenancePhase::kDrained, MAINTENANCE_RESTART, MaintenancePhase::kRestarting},
    {MaintenancePhase::kRestarting, MAINTENANCE_RESTARTED, MaintenancePhase::kSlowStart},
    {MaintenancePhase::kDraining, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kDrained, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kRestarting, MAINTENANCE_CANCEL, MaintenancePhase::kCancelling},
    {MaintenancePhase::kCancelling, MAINTENANCE_RESTARTED,
     MaintenancePhase::kSlowStart},  // it had gone all the same
};

struct ReleaseRule {
  ReleasePhase phase;
  ReleaseInput input;
  ReleasePhase next;
};

constexpr ReleaseRule kReleaseRules[] = {
    {PHASE_NONE, RELEASE_START, PHASE_ROLLING},
    {PHASE_DONE, RELEASE_START, PHASE_ROLLING},
    {PHASE_ROLLED_BACK, RELEASE_START, PHASE_ROLLING},
    {PHASE_ROLLING, RELEASE_WAVE_UPDATED, PHASE_SOAKING},
    {PHASE_SOAKING, RELEASE_NEXT_WAVE, PHASE_ROLLING},
    {PHASE_SOAKING, RELEASE_FINISH, PHASE_DONE},
    {PHASE_ROLLING, RELEASE_HALT, PHASE_HALTED},
    {PHASE_SOAKING, RELEASE_HALT, PHASE_HALTED},
    {PHASE_HALTED, RELEASE_RESUME, PHASE_ROLLING},
    {PHASE_HALTED, RELEASE_FINISH, PHASE_DONE},  // left as it is
    {PHASE_ROLLING, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_SOAKING, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_HALTED, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_ROLLING_BACK, RELEASE_ROLLED_BACK, PHASE_ROLLED_BACK},
    {PHASE_ROLLING_BACK, RELEASE_HALT, PHASE_ROLLBACK_HALTED},
    {PHASE_ROLLBACK_HALTED, RELEASE_RESUME, PHASE_ROLLING_BACK},
    {PHASE_ROLLBACK_HALTED, RELEASE_FINISH, PHASE_ROLLED_BACK},
};

bool serves(const routing_state::PersistedNode& node) {
  return node.state() == routing_state::stored_name(routing::ServerState::kServing);
}

}  // namespace

const char* name_of(MaintenancePhase phase) {
  constexpr const char* names[kMaintenancePhases] = {"emptying", "empty", "ordered", "warming", "returning"};
  return names[static_cast<std::size_t>(phase)];
}

const char* name_of(ReleasePhase phase) {
  switch (phase) {
    case PHASE_ROLLING:
      return "rolling";
    case PHASE_SOAKING:
      return "soaking";
    case PHASE_HALTED:
      return "halted";
    case PHASE_ROLLING_BACK:
      return "going back";
    case PHASE_ROLLBACK_HALTED:
      return "halted on the way back";
    case PHASE_DONE:
      return "done";
    case PHASE_ROLLED_BACK:
      return "taken back";
    default:
      return "none";
  }
}

bool MaintenanceState::has_changes(const Decision& decision) {
  return decision.has_budgets() || decision.trips_size() > 0 || decision.drains_size() > 0 ||
         decision.has_release() || decision.results_size() > 0;
}

bool MaintenanceState::apply(const Decision& decision, const Around& around) {
  orders_changed_ = false;
  if (decision.has_budgets()) {
    budgets_ = decision.budgets();
    capacities_.clear();
    for (const Capacity& one : budgets_.capacities()) capacities_[one.node()] = one.capacity();
  }
  for (const DrainStep& one : decision.drains()) {
    if (one.wanted() == drains_.contains(one.node())) return false;
    one.wanted() ? void(drains_.insert(one.node())) : void(drains_.erase(one.node()));
    auto lease = leases_.find(one.node());
    bool ends = !one.wanted() && lease != leases_.end() && lease->second.reason == REASON_DRAIN;
    if (ends && lease->second.is_out_of_rotation())
      enter(lease->second, MaintenancePhase::kCancelling, around);
  }
  if (decision.has_release() && !step(decision.release(), around)) return false;
  for (const MaintenanceStep& one : decision.trips()) {
    if (!step(one, around)) return false;
  }
  // What is shown out from now on is out in this publication.
  for (const routing_state::NodeRoute& node : around.picture.nodes()) {
    auto lease = leases_.find(node.name());
    if (lease == leases_.end() || lease->second.published_in != 0 || !lease->second.is_out_of_rotation())
      continue;
    if (node.weight() == 0) lease->second.published_in = around.picture.number();
  }
  std::vector<std::string> over;
  for (const auto& [node, lease] : leases_) {
    if (lease.until <= around.time) over.push_back(node);
  }
  for (const std::string& node : over) end(node, "its permit ran out");
  for (const CommandResult& one : decision.results()) {
    if (result(one.id())) return false;
    results_.push_back(one);
    if (results_.size() > kMaxResults) results_.pop_front();
  }
  return true;
}

// ---- Servers that are out

void MaintenanceState::enter(MaintenanceLease& lease, MaintenancePhase phase, const Around& around) {
  if (lease.phase == MaintenancePhase::kRestarting && phase == MaintenancePhase::kCancelling)
    lease.cancelled_in = around.number;
  orders_changed_ = orders_changed_ || lease.phase == MaintenancePhase::kRestarting ||
                    phase == MaintenancePhase::kRestarting;
  lease.phase = phase;
  lease.since = around.time;
}

void MaintenanceState::mark_failed(const std::string& node, const std::string& failed) {
  for (UpdatedServer& one : *release_.mutable_taken()) {
    if (one.node() == node) one.set_failed(failed);
  }
}

void MaintenanceState::end(const std::string& node, const std::string& failed) {
  const MaintenanceLease& lease = leases_.at(node);
  orders_changed_ = orders_changed_ || lease.phase == MaintenancePhase::kRestarting;
  if (!failed.empty() && lease.reason != REASON_DRAIN) mark_failed(node, failed);
  leases_.erase(node);
}

std::uint64_t MaintenanceState::capacity_of(const std::string& node) const {
  auto found = capacities_.find(node);
  return found == capacities_.end() ? 0 : found->second;
}

bool MaintenanceState::is_out(const std::string& node, const Nodes& nodes) const {
  auto known = nodes.find(node);
  return leases_.contains(node) || known == nodes.end() || !serves(known->second);
}

std::uint64_t MaintenanceState::unavailable_capacity(const Budget& budget, const Nodes& nodes) const {
  std::uint64_t out = 0;
  for (const std::string& node : budget.nodes()) {
    if (is_out(node, nodes)) out += budget.by_count() ? kOne : capacity_of(node);
  }
  return out;
}

// One that is out for its health, and would not come back by itself, takes nothing more; one that is on its
// way back counts like any other. Where nothing may be out, nothing goes by choice.
const Budget* MaintenanceState::exceeded_budget(const std::string& node, const Nodes& nodes) const {
  bool already = is_out(node, nodes);
  auto known = nodes.find(node);
  bool stuck = known != nodes.end() &&
               (known->second.state() == routing_state::stored_name(routing::ServerState::kUnhealthy) ||
                known->second.state() == routing_state::stored_name(routing::ServerState::kUnresponsive));
  for (const Budget& budget : budgets_.budgets()) {
    if (std::find(budget.nodes().begin(), budget.nodes().end(), node) == budget.nodes().end()) continue;
    std::uint64_t more = already ? 0 : budget.by_count() ? kOne : capacity_of(node);
    if (budget.most() == 0 || (!stuck && unavailable_capacity(budget, nodes) + more > budget.most()))
      return &budget;
  }
  return nullptr;
}

bool MaintenanceState::grant(const MaintenanceStep& step, const Around& around) {
  auto known = around.nodes.find(step.node());
  if (leases_.contains(step.node()) || known == around.nodes.end() || step.for_ns() <= 0) return false;
  if (capacity_of(step.node()) == 0 || exceeded_budget(step.node(), around.nodes)) return false;
  const UpdatedServer* before = updated_server(step.node());
  switch (step.why()) {
    case REASON_DRAIN:
      if (!drains_.contains(step.node())) return false;
      break;
    case REASON_RELEASE:
      if (release_.phase() != PHASE_ROLLING || step.version() != release_.plan().version()) return false;
      if (before) {
        if (!before->failed().empty()) return false;
      } else {
        UpdatedServer& now = *release_.add_taken();
        now.set_node(step.node());
        now.set_from_version(known->second.version());
        now.set_wave(release_.wave());
      }
      break;
    case REASON_ROLLBACK:
      if (release_.phase() != PHASE_ROLLING_BACK || !before || step.version() != before->from_version())
        return false;
      break;
    default:
      return false;
  }
  leases_[step.node()] = {.phase = MaintenancePhase::kDraining,
                          .reason = step.why(),
                          .version = step.version(),
                          .incarnation = known->second.life(),
                          .published_in = 0,
                          .cancelled_in = 0,
                          .granted = around.time,
                          .since = around.time,
                          .until = around.time + step.for_ns()};
  return true;
}

bool MaintenanceState::step(const MaintenanceStep& step, const Around& around) {
  if (step.input() == MAINTENANCE_GRANT) return grant(step, around);
  auto found = leases_.find(step.node());
  if (found == leases_.end()) return false;
  MaintenanceLease& lease = found->second;
  auto known = around.nodes.find(step.node());
  std::uint64_t incarnation = known == around.nodes.end() ? 0 : known->second.life();
  bool serving = known != around.nodes.end() && serves(known->second);
  switch (step.input()) {
    case MAINTENANCE_EXTEND:
      if (step.for_ns() <= 0) return false;
      lease.until = around.time + step.for_ns();
      return true;
    case MAINTENANCE_FAIL:
      end(step.node(), step.reason());
      return true;
    case MAINTENANCE_COMPLETE: {
      bool stayed = lease.phase == MaintenancePhase::kCancelling && incarnation == lease.incarnation;
      if (!serving || !(stayed || lease.phase == MaintenancePhase::kSlowStart)) return false;
      end(step.node(), "");
      return true;
    }
    case MAINTENANCE_DRAINED:
      if (lease.published_in == 0 || around.applied < lease.published_in) return false;
      break;
    case MAINTENANCE_RESTART:
      if (lease.reason == REASON_DRAIN || incarnation != lease.incarnation) return false;
      break;
    case MAINTENANCE_RESTARTED:
      if (incarnation == lease.incarnation) return false;
      if (lease.phase == MaintenancePhase::kRestarting && known->second.version() != lease.version)
        return false;
      break;
    case MAINTENANCE_CANCEL:
      if (!step.reason().empty() && lease.reason != REASON_DRAIN) mark_failed(step.node(), step.reason());
      break;
    default:
      return false;
  }
  for (const MaintenanceRule& rule : kMaintenanceRules) {
    if (rule.phase != lease.phase || rule.input != step.input()) continue;
    enter(lease, rule.next, around);
    return true;
  }
  return false;
}

std::set<std::string> MaintenanceState::out_for_maintenance() const {
  std::set<std::string> out;
  for (const auto& [node, lease] : leases_) {
    if (lease.is_out_of_rotation()) out.insert(node);
  }
  return out;
}

// ---- A release

const UpdatedServer* MaintenanceState::updated_server(const std::string& node) const {
  for (const UpdatedServer& one : release_.taken()) {
    if (one.node() == node) return &one;
  }
  return nullptr;
}

// At once, also those that have their order: a later one says that they may stay.
void MaintenanceState::call_back(MaintenanceReason reason, const Around& around) {
  for (auto& [node, lease] : leases_) {
    if (lease.reason == reason && lease.is_out_of_rotation())
      enter(lease, MaintenancePhase::kCancelling, around);
  }
}

bool MaintenanceState::step(const ReleaseStep& step, const Around& around) {
  for (const ReleaseRule& rule : kReleaseRules) {
    if (rule.phase != release_.phase() || rule.input != step.input()) continue;
    switch (step.input()) {
      case RELEASE_START: {
        if (step.plan().waves_size() == 0) return false;
        std::uint64_t id = release_.id() + 1;
        release_.Clear();
        release_.set_id(id);
        *release_.mutable_plan() = step.plan();
        release_.set_started_ns(around.time);
        break;
      }
      case RELEASE_NEXT_WAVE:
        release_.set_wave(release_.wave() + 1);
        break;
      case RELEASE_HALT:
        call_back(rule.phase == PHASE_ROLLING_BACK ? REASON_ROLLBACK : REASON_RELEASE, around);
        break;
      case RELEASE_ROLL_BACK:
        call_back(REASON_RELEASE, around);
        [[fallthrough]];
      case RELEASE_RESUME:
        for (UpdatedServer& one : *release_.mutable_taken()) one.clear_failed();
        break;
      default:
        break;
    }
    release_.set_phase(rule.next);
    release_.set_since_ns(around.time);
    release_.set_reason(step.reason());
    return true;
  }
  return false;
}

const CommandResult* MaintenanceState::result(std::uint64_t id) const {
  for (const CommandResult& one : results_) {
    if (one.id() == id) return &one;
  }
  return nullptr;
}

// ---- As bytes

void MaintenanceState::fill(MaintenanceImage& out) const {
  *out.mutable_budgets() = budgets_;
  for (const auto& [node, lease] : leases_) {
    MaintenanceLeaseRecord& to = *out.add_trips();
    to.set_node(node);
    to.set_place(static_cast<std::uint32_t>(lease.phase));
    to.set_why(lease.reason);
    to.set_version(lease.version);
    to.set_life(lease.incarnation);
    to.set_shown_in(lease.published_in);
    to.set_recalled(lease.cancelled_in);
    to.set_granted_ns(lease.granted);
    to.set_since_ns(lease.since);
    to.set_until_ns(lease.until);
  }
  for (const std::string& node : drains_) out.add_drains(node);
  *out.mutable_release() = release_;
  for (const CommandResult& one : results_) *out.add_results() = one;
}

bool MaintenanceState::restore(const MaintenanceImage& in) {
  budgets_ = in.budgets();
  for (const Capacity& one : budgets_.capacities()) capacities_[one.node()] = one.capacity();
  for (const MaintenanceLeaseRecord& lease : in.trips()) {
    if (lease.place() >= kMaintenancePhases) return false;
    leases_[lease.node()] = {.phase = static_cast<MaintenancePhase>(lease.place()),
                             .reason = lease.why(),
                             .version = lease.version(),
                             .incarnation = lease.life(),
                             .published_in = lease.shown_in(),
                             .cancelled_in = lease.recalled(),
                             .granted = lease.granted_ns(),
                             .since = lease.since_ns(),
                             .until = lease.until_ns()};
  }
  drains_.insert(in.drains().begin(), in.drains().end());
  release_ = in.release();
  results_.assign(in.results().begin(), in.results().end());
  return true;
}

}  // namespace myrtlecroft::agreement
