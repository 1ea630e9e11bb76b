#include "releases/rollout_controller.h"

#include <utility>

#include "releases/disruption_budget.h"
#include "releases/maintenance_steps.h"
#include "releases/operator_commands.h"
#include "releases/release_transitions.h"

namespace myrtlecroft::releases {
namespace {

constexpr std::size_t kMaxLoggedCommand = 64;  // bytes

// Adds the command's steps if it can be executed. Returns its result as stored in the agreed state.
std::string run_command(const RolloutContext& context, const std::string& text, agreement::Decision& out) {
  try {
    return execute(context, parse_command(text), out);
  } catch (const CommandError& error) {
    return kCommandRejectedPrefix + error.what();
  }
}

}  // namespace

void RolloutController::observe(const View& view) {
  bool phase_began = monitor_.watch(RolloutContext(view));
  if (phase_began) status_detail_.clear();
}

void RolloutController::append_steps(const View& view, agreement::Decision& out) {
  RolloutContext context(view);
  agreement::Budgets budgets = budgets_of(view.router.fleet());
  bool budgets_agreed =
      budgets.SerializeAsString() == view.committed_state.maintenance().budgets().SerializeAsString();
  if (!budgets_agreed) *out.mutable_budgets() = budgets;
  propose_command_result(context, out);
  bool has_command_steps = out.has_release() || out.drains_size() > 0;
  if (!has_command_steps) {
    propose_release_transition({.context = context, .monitor = monitor_, .grants = grants_}, out);
    const PhaseAnalysis& analysis = monitor_.analysis();
    bool new_result = analysis.latest_at() == view.now && !analysis.latest().reason.empty();
    if (new_result) status_detail_ = analysis.latest().reason;
  }
  // The agreed state cancels leases on a halt or a rollback, so that other steps wait for the next decision.
  if (out.has_release() || has_command_steps) return;
  propose_maintenance_steps(context, out);
  if (budgets_agreed) grants_.propose(context, out);
  if (!grants_.blocked_reason().empty()) status_detail_ = grants_.blocked_reason();
}

// Executes one command per decision, so that each command is checked against the effects of the previous one.
void RolloutController::propose_command_result(const RolloutContext& context, agreement::Decision& out) {
  for (const auto& [id, text] : context.view.commands) {
    if (context.maintenance.result(id)) continue;
    std::string answer = run_command(context, text, out);
    agreement::CommandResult& result = *out.add_results();
    result.set_id(id);
    result.set_said(answer);
    log_("command '" + text.substr(0, kMaxLoggedCommand) + "': " + answer);
    return;
  }
}

}  // namespace myrtlecroft::releases
