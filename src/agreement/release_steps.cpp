// The phases of a release in the replicated state: the steps that each phase accepts, and their effects.
#include "agreement/maintenance_state.h"

namespace myrtlecroft::agreement {
namespace {

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
    {PHASE_HALTED, RELEASE_FINISH, PHASE_DONE},  // servers keep the versions they have
    {PHASE_ROLLING, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_SOAKING, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_HALTED, RELEASE_ROLL_BACK, PHASE_ROLLING_BACK},
    {PHASE_ROLLING_BACK, RELEASE_ROLLED_BACK, PHASE_ROLLED_BACK},
    {PHASE_ROLLING_BACK, RELEASE_HALT, PHASE_ROLLBACK_HALTED},
    {PHASE_ROLLBACK_HALTED, RELEASE_RESUME, PHASE_ROLLING_BACK},
    {PHASE_ROLLBACK_HALTED, RELEASE_FINISH, PHASE_ROLLED_BACK},
};

}  // namespace

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

const UpdatedServer* MaintenanceState::updated_server(const std::string& node) const {
  for (const UpdatedServer& server : release_.taken()) {
    if (server.node() == node) return &server;
  }
  return nullptr;
}

// Cancels also the leases of servers that have received a restart order: the next assignment revokes it.
void MaintenanceState::cancel_leases(MaintenanceReason reason, const Context& context) {
  for (auto& [node, lease] : leases_) {
    if (lease.reason == reason && lease.is_out_of_rotation())
      enter_phase(lease, MaintenancePhase::kCancelling, context);
  }
}

bool MaintenanceState::apply_step(const ReleaseStep& step, const Context& context) {
  for (const ReleaseRule& rule : kReleaseRules) {
    if (rule.phase != release_.phase() || rule.input != step.input()) continue;
    switch (step.input()) {
      case RELEASE_START: {
        if (step.plan().waves_size() == 0) return false;
        std::uint64_t id = release_.id() + 1;
        release_.Clear();
        release_.set_id(id);
        *release_.mutable_plan() = step.plan();
        release_.set_started_ns(context.time);
        break;
      }
      case RELEASE_NEXT_WAVE:
        release_.set_wave(release_.wave() + 1);
        break;
      case RELEASE_HALT:
        cancel_leases(rule.phase == PHASE_ROLLING_BACK ? REASON_ROLLBACK : REASON_RELEASE, context);
        break;
      case RELEASE_ROLL_BACK:
        cancel_leases(REASON_RELEASE, context);
        [[fallthrough]];
      case RELEASE_RESUME:
        for (UpdatedServer& server : *release_.mutable_taken()) server.clear_failed();
        break;
      default:
        break;
    }
    release_.set_phase(rule.next);
    release_.set_since_ns(context.time);
    release_.set_reason(step.reason());
    return true;
  }
  return false;
}

}  // namespace myrtlecroft::agreement
