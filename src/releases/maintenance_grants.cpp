#include "releases/maintenance_grants.h"

#include "releases/update_queue.h"

namespace myrtlecroft::releases {
namespace {

constexpr Nanos kLeaseMargin = 5000 * kMs;  // added to the sum of the time limits of a lease's phases
constexpr double kThousandths = 1000;

}  // namespace

void MaintenanceGrants::propose(const RolloutContext& context, agreement::Decision& out) {
  blocked_reason_.clear();
  // A replica that receives the reports of only some servers can't tell which servers are unavailable.
  if (context.view.router.registry().view() != routing::ConnectivityState::kConnected) {
    blocked_reason_ = "too few servers report to this replica";
    return;
  }
  DisruptionBudget budget(context.view.router.fleet(), context.all_servers(), context.leased);
  propose_drains(context, budget, out);
  if (context.maintenance.release_in_progress()) propose_updates(context, budget, out);
}

void MaintenanceGrants::propose_drains(const RolloutContext& context, DisruptionBudget& budget,
                                       agreement::Decision& out) {
  const fleet::MaintenanceOptions& options = context.view.router.fleet().maintenance;
  for (const std::string& node : context.maintenance.drains()) {
    const routing::ServerStatus* server = context.server(node);
    if (!server || server->last_report_at == 0 || context.leased.contains(node)) continue;
    Grant grant{.node = node,
                .reason = agreement::REASON_DRAIN,
                .duration = options.lease_duration,
                .reserve = options.reserve};
    grant_within(budget, grant, context.view.now, out);
  }
}

void MaintenanceGrants::propose_updates(const RolloutContext& context, DisruptionBudget& budget,
                                        agreement::Decision& out) {
  const agreement::Plan& plan = context.plan;
  bool is_rollback = context.release.phase() == agreement::PHASE_ROLLING_BACK;
  Nanos duration = plan.empty_within_ns() + plan.back_within_ns() + plan.warm_within_ns() + kLeaseMargin;
  for (const std::string& node : servers_to_update(context)) {
    // A server that operators drain gets its lease from propose_drains().
    if (context.maintenance.drains().contains(node)) continue;
    Grant grant{.node = node,
                .reason = is_rollback ? agreement::REASON_ROLLBACK : agreement::REASON_RELEASE,
                .version = is_rollback ? context.updated.at(node)->from_version() : plan.version(),
                .duration = duration,
                .reserve = plan.reserve() / kThousandths};
    grant_within(budget, grant, context.view.now, out);
  }
}

void MaintenanceGrants::grant_within(DisruptionBudget& budget, const Grant& grant, Nanos now,
                                     agreement::Decision& out) {
  if (auto error = budget.check(grant.node, grant.reserve)) {
    if (blocked_reason_.empty()) blocked_reason_ = "server " + grant.node + " waits: " + error->text();
    return;
  }
  budget.mark_unavailable(grant.node);
  last_granted_ = now;
  agreement::MaintenanceStep& step = *out.add_trips();
  step.set_node(grant.node);
  step.set_input(agreement::MAINTENANCE_GRANT);
  step.set_why(grant.reason);
  step.set_version(grant.version);
  step.set_for_ns(grant.duration);
}

}  // namespace myrtlecroft::releases
