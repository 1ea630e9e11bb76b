// Conversion of the maintenance state to and from its message in images of the replicated state.
#include "agreement/maintenance_state.h"

namespace myrtlecroft::agreement {

void MaintenanceState::write_image(MaintenanceImage& out) const {
  *out.mutable_budgets() = budgets_;
  for (const auto& [node, lease] : leases_) {
    MaintenanceLeaseRecord& to = *out.add_trips();
    to.set_node(node);
    to.set_place(static_cast<std::uint32_t>(lease.phase));
    to.set_why(lease.reason);
    to.set_version(lease.version);
    to.set_life(lease.incarnation);
    to.set_shown_in(lease.zero_weight_publication);
    to.set_recalled(lease.cancelled_in_decision);
    to.set_granted_ns(lease.granted_at);
    to.set_since_ns(lease.since);
    to.set_until_ns(lease.expires_at);
  }
  for (const std::string& node : drains_) out.add_drains(node);
  *out.mutable_release() = release_;
  for (const CommandResult& result : results_) *out.add_results() = result;
}

bool MaintenanceState::restore(const MaintenanceImage& in) {
  budgets_ = in.budgets();
  for (const Capacity& capacity : budgets_.capacities()) capacities_[capacity.node()] = capacity.capacity();
  for (const MaintenanceLeaseRecord& lease : in.trips()) {
    if (lease.place() >= kMaintenancePhases) return false;
    leases_[lease.node()] = {.phase = static_cast<MaintenancePhase>(lease.place()),
                             .reason = lease.why(),
                             .version = lease.version(),
                             .incarnation = lease.life(),
                             .zero_weight_publication = lease.shown_in(),
                             .cancelled_in_decision = lease.recalled(),
                             .granted_at = lease.granted_ns(),
                             .since = lease.since_ns(),
                             .expires_at = lease.until_ns()};
  }
  drains_.insert(in.drains().begin(), in.drains().end());
  release_ = in.release();
  results_.assign(in.results().begin(), in.results().end());
  return true;
}

}  // namespace myrtlecroft::agreement
