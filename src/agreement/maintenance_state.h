// The part of the replicated state that holds maintenance leases, the release and results of commands. Its
// rules are independent of how a step is proposed: the leader draws steps from measurements, while the rules
// here accept or reject them by the replicated state alone. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::agreement {

// The phase of a server with a maintenance lease (docs/design/releases.md has the table of transitions).
enum class MaintenancePhase {
  kDraining,    // it gets no new requests, and its shards are being closed
  kDrained,     // no proxy routes to it, and it has no requests
  kRestarting,  // ordered to restart in another version
  kSlowStart,   // restarted; its weight grows gradually
  kCancelling   // the lease was cancelled; the server returns to service
};
constexpr int kMaintenancePhases = 5;
const char* name_of(MaintenancePhase phase);
const char* name_of(ReleasePhase phase);

// Permission for one server to be out of rotation for a limited time.
struct MaintenanceLease {
  MaintenancePhase phase = MaintenancePhase::kDraining;
  MaintenanceReason reason = REASON_DRAIN;
  std::uint32_t version = 0;                  // to restart in; unused in a drain
  std::uint64_t incarnation = 0;              // that the lease was granted to
  std::uint64_t zero_weight_publication = 0;  // the first publication with weight 0 for it; 0: none yet
  // Number of the decision that cancelled the lease after the restart was ordered. Until the server reports
  // that it acts on that decision or a later one, it may still restart as ordered. 0: no such decision.
  std::uint64_t cancelled_in_decision = 0;
  // Replicated times. After `expires_at` the lease has expired, and the server counts by its own state.
  Nanos granted_at = 0;
  Nanos since = 0;  // when the lease entered its phase
  Nanos expires_at = 0;

  bool is_out_of_rotation() const {
    return phase == MaintenancePhase::kDraining || phase == MaintenancePhase::kDrained ||
           phase == MaintenancePhase::kRestarting;
  }
};

// All leases, drains, the release, budgets and recent command results. Not thread-safe.
class MaintenanceState {
 public:
  using Nodes = std::map<std::string, routing_state::PersistedNode>;
  // The rest of the replicated state, as the decision leaves it.
  struct Context {
    const Nodes& nodes;
    const routing_state::Snapshot& snapshot;
    std::uint64_t applied = 0;  // number of the publication that all proxies have
    Nanos time = 0;             // replicated time
    std::uint64_t number = 0;   // of the decision
  };
  // Returns false where a step breaks a rule; the object is then partly changed and must be discarded.
  bool apply(const Decision& decision, const Context& context);
  static bool has_changes(const Decision& decision);

  void write_image(MaintenanceImage& out) const;
  // Replaces an empty state. Returns false where the image has an unknown phase.
  bool restore(const MaintenanceImage& in);

  const std::map<std::string, MaintenanceLease>& leases() const { return leases_; }
  const MaintenanceLease* lease(const std::string& node) const {
    auto found = leases_.find(node);
    return found == leases_.end() ? nullptr : &found->second;
  }
  const std::set<std::string>& drains() const { return drains_; }
  const Release& release() const { return release_; }
  bool release_in_progress() const { return is_release_in_progress(release_.phase()); }
  static bool is_release_in_progress(ReleasePhase phase) {
    return phase != PHASE_NONE && phase != PHASE_DONE && phase != PHASE_ROLLED_BACK;
  }
  const Budgets& budgets() const { return budgets_; }
  // nullptr where the result is unknown: not committed yet, or dropped after kMaxResults later ones.
  const CommandResult* result(std::uint64_t id) const;
  // nullptr where the current release has not taken the server out.
  const UpdatedServer* updated_server(const std::string& node) const;

  // Servers that proxies must not route to because of maintenance.
  std::set<std::string> out_for_maintenance() const;
  // Capacity of a budget's servers that are unavailable, for maintenance or by failure; in thousandths.
  std::uint64_t unavailable_capacity(const Budget& budget, const Nodes& nodes) const;
  // The first budget that would be exceeded if this server were taken out too; nullptr: none.
  const Budget* exceeded_budget(const std::string& node, const Nodes& nodes) const;
  // Whether the last decision changed the restart orders to servers.
  bool orders_changed() const { return orders_changed_; }

 private:
  bool apply_step(const MaintenanceStep& step, const Context& context);
  bool grant(const MaintenanceStep& step, const Context& context);
  static bool may_complete(const std::string& node, const MaintenanceLease& lease, const Context& context);
  static bool may_change_phase(const MaintenanceStep& step, const MaintenanceLease& lease,
                               const Context& context);
  bool apply_step(const ReleaseStep& step, const Context& context);
  void enter_phase(MaintenanceLease& lease, MaintenancePhase phase, const Context& context);
  void cancel_leases(MaintenanceReason reason, const Context& context);
  void end_lease(const std::string& node, const std::string& failure);
  void mark_failed(const std::string& node, const std::string& failure);
  std::uint64_t capacity_of(const std::string& node) const;
  bool is_unavailable(const std::string& node, const Nodes& nodes) const;

  Budgets budgets_;
  std::map<std::string, std::uint64_t> capacities_;
  std::map<std::string, MaintenanceLease> leases_;
  std::set<std::string> drains_;
  Release release_;
  std::deque<CommandResult> results_;
  bool orders_changed_ = false;
};

}  // namespace myrtlecroft::agreement
