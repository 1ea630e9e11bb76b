// The part of the agreed state that says who may be out by choice, how far a release has come, and what came
// of commands. Rules of its own: whoever draws up a step concludes it from what is measured, and what is
// taken here rests on what is agreed alone. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::agreement {

// Where a server that may be out by choice stands (docs/design/releases.md has the table).
enum class MaintenancePhase {
  kDraining,    // it gets nothing new, and its keys close
  kDrained,     // no proxy sends to it, and it holds nothing
  kRestarting,  // told to end and to come back in another version
  kSlowStart,   // back, and let in by degrees
  kCancelling   // called back
};
constexpr int kMaintenancePhases = 5;
const char* name_of(MaintenancePhase phase);
const char* name_of(ReleasePhase phase);

struct MaintenanceLease {
  MaintenancePhase phase = MaintenancePhase::kDraining;
  MaintenanceReason reason = REASON_DRAIN;
  std::uint32_t version = 0;                  // to come back in; of no use in a drain
  std::uint64_t incarnation = 0;              // that was let out
  std::uint64_t zero_weight_publication = 0;  // the publication that first showed it out; 0: none yet
  // The decision that called it back once it had its order: until it says that it acts on that one or a
  // later, it may yet go by the order. 0: it had none.
  std::uint64_t cancelled_in_decision = 0;
  // Agreed times. Over `until` the permit has run out, and the server counts by what it is.
  Nanos granted = 0;
  Nanos since = 0;
  Nanos until = 0;

  bool is_out_of_rotation() const {
    return phase == MaintenancePhase::kDraining || phase == MaintenancePhase::kDrained ||
           phase == MaintenancePhase::kRestarting;
  }
};

class MaintenanceState {
 public:
  using Nodes = std::map<std::string, routing_state::PersistedNode>;
  // What else is agreed, as the decision leaves it.
  struct Context {
    const Nodes& nodes;
    const routing_state::Snapshot& snapshot;
    std::uint64_t applied = 0;  // the publication that all proxies have
    Nanos time = 0;
    std::uint64_t number = 0;  // of the decision
  };
  // False: some step breaks a rule, and what is left in here is of no use.
  bool apply(const Decision& decision, const Context& context);
  static bool has_changes(const Decision& decision);

  void fill(MaintenanceImage& out) const;
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
  const CommandResult* result(std::uint64_t id) const;
  const UpdatedServer* updated_server(const std::string& node) const;

  // Servers that proxies are to send nothing.
  std::set<std::string> out_for_maintenance() const;
  // Capacity in thousandths that is out of a budget, by choice or not.
  std::uint64_t unavailable_capacity(const Budget& budget, const Nodes& nodes) const;
  // The budget that would be broken if this server went out too; nullptr: none.
  const Budget* exceeded_budget(const std::string& node, const Nodes& nodes) const;
  // Whether orders to servers are others than before the last decision.
  bool orders_changed() const { return orders_changed_; }

 private:
  bool step(const MaintenanceStep& step, const Context& context);
  bool grant(const MaintenanceStep& step, const Context& context);
  static bool may_complete(const std::string& node, const MaintenanceLease& lease, const Context& context);
  static bool may_change_phase(const MaintenanceStep& step, const MaintenanceLease& lease,
                               const Context& context);
  bool step(const ReleaseStep& step, const Context& context);
  void enter(MaintenanceLease& lease, MaintenancePhase phase, const Context& context);
  void cancel_leases(MaintenanceReason reason, const Context& context);
  void end(const std::string& node, const std::string& failed);
  void mark_failed(const std::string& node, const std::string& failed);
  std::uint64_t capacity_of(const std::string& node) const;
  bool is_out(const std::string& node, const Nodes& nodes) const;

  Budgets budgets_;
  std::map<std::string, std::uint64_t> capacities_;
  std::map<std::string, MaintenanceLease> leases_;
  std::set<std::string> drains_;
  Release release_;
  std::deque<CommandResult> results_;
  bool orders_changed_ = false;
};

}  // namespace myrtlecroft::agreement
