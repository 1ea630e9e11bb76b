#include "releases/maintenance_steps.h"

#include <string>

namespace myrtlecroft::releases {
namespace {

using agreement::MaintenanceLease;
using agreement::MaintenancePhase;
using routing::ServerStatus;

// One server with a maintenance lease.
struct LeasedServer {
  const RolloutContext& context;
  const std::string& node;
  const MaintenanceLease& lease;
  const ServerStatus* status;  // nullptr: no longer in the fleet file
};

// In `phase`, a lease receives `event` if `applies` returns true. `reason` may be empty.
struct StepRule {
  MaintenancePhase phase;
  bool (*applies)(const LeasedServer&);
  agreement::MaintenanceInput event;
  const char* reason;
};

bool is_other_incarnation(const LeasedServer& server) {
  return server.status && server.status->last_report_at > 0 &&
         server.status->incarnation != server.lease.incarnation;
}

// All proxies have applied a snapshot in which the server has weight 0, and the server reports no requests.
bool is_drained(const LeasedServer& server) {
  bool applied = server.lease.zero_weight_publication != 0 &&
                 server.context.view.applied >= server.lease.zero_weight_publication;
  return applied && server.status && server.status->last_report_at > 0 &&
         server.status->report.queued_requests == 0 && server.status->report.running == 0;
}

// A drain by operators has no time limit.
bool is_drain_late(const LeasedServer& server) {
  return server.lease.reason != agreement::REASON_DRAIN &&
         server.context.time_in_phase(server.lease) >= server.context.plan.empty_within_ns();
}

bool should_restart(const LeasedServer& server) {
  return server.lease.reason != agreement::REASON_DRAIN && server.status &&
         server.status->report.accepts_assignments;
}

bool restarted_in_target_version(const LeasedServer& server) {
  return is_other_incarnation(server) && server.status->version == server.lease.version;
}

bool is_restart_late(const LeasedServer& server) {
  return server.context.time_in_phase(server.lease) >= server.context.plan.back_within_ns();
}

bool is_late_without_restart(const LeasedServer& server) {
  return is_restart_late(server) && server.status && server.status->incarnation == server.lease.incarnation &&
         !server.status->report.draining &&
         server.context.view.now - server.status->last_report_at <=
             server.context.view.router.fleet().bounds.lost_after;
}

bool is_in_full_service(const LeasedServer& server) {
  return server.status && server.status->at_full_capacity();
}

// A server that received a restart command may be about to stop although it still serves. Only a report made
// under the epoch that cancelled the command shows that the server will not restart.
bool has_acted_on_cancellation(const LeasedServer& server) {
  return is_in_full_service(server) &&
         server.status->report.epoch.number >= server.lease.cancelled_in_decision;
}

bool is_return_to_service_late(const LeasedServer& server) {
  Nanos limit = server.lease.reason == agreement::REASON_DRAIN
                    ? server.context.view.router.fleet().maintenance.lease_duration
                    : server.context.plan.warm_within_ns();
  return server.context.time_in_phase(server.lease) >= limit;
}

// The first rule of the lease's phase that applies determines the event.
constexpr StepRule kStepRules[] = {
    {MaintenancePhase::kDraining, is_other_incarnation, agreement::MAINTENANCE_CANCEL, ""},
    {MaintenancePhase::kDraining, is_drained, agreement::MAINTENANCE_DRAINED, ""},
    {MaintenancePhase::kDraining, is_drain_late, agreement::MAINTENANCE_CANCEL, "not drained in time"},

    {MaintenancePhase::kDrained, is_other_incarnation, agreement::MAINTENANCE_CANCEL, ""},
    {MaintenancePhase::kDrained, should_restart, agreement::MAINTENANCE_RESTART, ""},

    {MaintenancePhase::kRestarting, restarted_in_target_version, agreement::MAINTENANCE_RESTARTED, ""},
    {MaintenancePhase::kRestarting, is_other_incarnation, agreement::MAINTENANCE_FAIL,
     "back in another version"},
    {MaintenancePhase::kRestarting, is_late_without_restart, agreement::MAINTENANCE_CANCEL,
     "did not restart"},
    {MaintenancePhase::kRestarting, is_restart_late, agreement::MAINTENANCE_FAIL, "did not come back"},

    {MaintenancePhase::kSlowStart, is_in_full_service, agreement::MAINTENANCE_COMPLETE, ""},
    {MaintenancePhase::kSlowStart, is_return_to_service_late, agreement::MAINTENANCE_FAIL,
     "slow start not completed in time"},

    {MaintenancePhase::kCancelling, is_other_incarnation, agreement::MAINTENANCE_RESTARTED, ""},
    {MaintenancePhase::kCancelling, has_acted_on_cancellation, agreement::MAINTENANCE_COMPLETE, ""},
    {MaintenancePhase::kCancelling, is_return_to_service_late, agreement::MAINTENANCE_FAIL,
     "cancelled, and not in service in time"},
};

const StepRule* rule_for(const LeasedServer& server) {
  for (const StepRule& rule : kStepRules) {
    if (rule.phase == server.lease.phase && rule.applies(server)) return &rule;
  }
  return nullptr;
}

// The lease of a drain that operators have not ended is extended once half of it has passed.
bool needs_extension(const LeasedServer& server, Nanos lease_duration) {
  bool drain_is_requested = server.lease.reason == agreement::REASON_DRAIN &&
                            server.context.maintenance.drains().contains(server.node);
  return drain_is_requested && server.lease.expires_at - server.context.view.time < lease_duration / 2;
}

}  // namespace

void propose_maintenance_steps(const RolloutContext& context, agreement::Decision& out) {
  Nanos lease_duration = context.view.router.fleet().maintenance.lease_duration;
  for (const auto& [node, lease] : context.maintenance.leases()) {
    LeasedServer server{.context = context, .node = node, .lease = lease, .status = context.server(node)};
    agreement::MaintenanceStep step;
    step.set_node(node);
    if (const StepRule* rule = rule_for(server)) {
      step.set_input(rule->event);
      step.set_reason(rule->reason);
    } else if (needs_extension(server, lease_duration)) {
      step.set_input(agreement::MAINTENANCE_EXTEND);
      step.set_for_ns(lease_duration);
    } else {
      continue;
    }
    *out.add_trips() = step;
  }
}

}  // namespace myrtlecroft::releases
