#include "control/maintenance_rows.h"

#include <set>
#include <string>

#include "control/admin_names.h"
#include "releases/disruption_budget.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::control {
namespace {

constexpr double kUnknownTimeLeft = -1;  // value of ReleaseRow.left_s

double to_seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

void add_lease_rows(const agreement::ReplicatedState& state, AdminAnswer& answer) {
  for (const auto& [server, lease] : state.maintenance().leases()) {
    MaintenanceLeaseRow& row = *answer.add_trips();
    row.set_node(server);
    row.set_why(name_of(lease.reason));
    row.set_place(agreement::name_of(lease.phase));
    row.set_version(lease.version);
    row.set_in_place_s(to_seconds(state.time() - lease.since));
    row.set_permit_s(to_seconds(lease.expires_at - state.time()));
  }
}

void add_budget_rows(const agreement::ControlReplica& replica, AdminAnswer& answer) {
  std::set<std::string> leased_servers;
  for (const auto& [server, lease] : replica.committed_state().maintenance().leases())
    leased_servers.insert(server);
  const routing::Router& router = replica.router();
  const releases::DisruptionBudget budget(router.fleet(), router.registry().all(), leased_servers);
  for (const releases::DisruptionBudget::Usage& usage : budget.usage()) {
    BudgetRow& row = *answer.add_budgets();
    row.set_name(usage.name);
    row.set_most(usage.max);
    row.set_out(usage.out);
    row.set_chosen(usage.voluntarily_unavailable);
    row.set_all(usage.all);
  }
}

// Sets how many servers, and which share of the capacity, report the release's version.
void set_progress(const std::vector<routing::ServerStatus>& servers, ReleaseRow& row) {
  double capacity = 0;
  double updated_capacity = 0;
  std::uint32_t updated = 0;
  for (const routing::ServerStatus& server : servers) {
    capacity += server.node.capacity;
    if (server.version != row.version()) continue;
    updated_capacity += server.node.capacity;
    ++updated;
  }
  row.set_nodes(static_cast<std::uint32_t>(servers.size()));
  row.set_nodes_with(updated);
  row.set_reached(capacity > 0 ? updated_capacity / capacity : 0);
}

// Extrapolates the rate so far. Unknown before the first server is updated.
double time_left_s(const ReleaseRow& row, bool rolling_back) {
  if (row.reached() <= 0) return kUnknownTimeLeft;
  double remaining_share = rolling_back ? row.reached() : 1 - row.reached();
  double completed_share = rolling_back ? 1 - row.reached() : row.reached();
  if (completed_share <= 0) return kUnknownTimeLeft;
  double elapsed_s = rolling_back ? row.in_phase_s() : row.age_s();
  return elapsed_s * remaining_share / completed_share;
}

void set_release_row(const ReplicatedControl& control, AdminAnswer& answer) {
  const agreement::ReplicatedState& state = control.replica().committed_state();
  const agreement::Release& release = state.maintenance().release();
  if (release.id() == 0) return;
  ReleaseRow& row = *answer.mutable_release();
  row.set_id(release.id());
  row.set_name(release.plan().name());
  row.set_version(release.plan().version());
  row.set_phase(agreement::name_of(release.phase()));
  row.set_wave(release.wave() + 1);
  row.set_waves(releases::wave_count(release.plan()));
  row.set_reason(release.reason());
  row.set_age_s(to_seconds(state.time() - release.started_ns()));
  row.set_in_phase_s(to_seconds(state.time() - release.since_ns()));
  set_progress(control.replica().router().registry().all(), row);
  for (const agreement::UpdatedServer& server : release.taken()) {
    if (!server.failed().empty()) row.add_failed(server.node() + ": " + server.failed());
  }
  bool in_progress = state.maintenance().release_in_progress();
  row.set_outlook(in_progress ? control.rollout().status_detail() : "");
  row.set_left_s(in_progress ? time_left_s(row, release.phase() == agreement::PHASE_ROLLING_BACK)
                             : kUnknownTimeLeft);
}

}  // namespace

void add_maintenance_rows(const ReplicatedControl& control, AdminAnswer& answer) {
  const agreement::ReplicatedState& state = control.replica().committed_state();
  add_lease_rows(state, answer);
  for (const std::string& server : state.maintenance().drains()) answer.add_drains(server);
  add_budget_rows(control.replica(), answer);
  set_release_row(control, answer);
}

}  // namespace myrtlecroft::control
