#include "releases/operator_commands.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>
#include <vector>

#include "releases/disruption_budget.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

using agreement::ReleasePhase;
using Kind = OperatorCommand::Kind;

constexpr std::size_t kMaxReason = 80;  // bytes; a longer reason of an operator is truncated

struct CommandName {
  std::string_view name;
  Kind kind;
};

constexpr CommandName kDrainCommands[] = {{"drain", Kind::kDrain}, {"undrain", Kind::kUndrain}};

// The word after "release".
constexpr CommandName kReleaseCommands[] = {{"start", Kind::kReleaseStart},
                                            {"halt", Kind::kReleaseHalt},
                                            {"resume", Kind::kReleaseResume},
                                            {"back", Kind::kReleaseRollback},
                                            {"end", Kind::kReleaseEnd}};

// In `phase`, a command of this kind gives the release `event`; `answer` follows the release's name in the
// result.
struct ReleaseCommandRule {
  Kind kind;
  ReleasePhase phase;
  agreement::ReleaseInput event;
  const char* answer;
};

constexpr ReleaseCommandRule kReleaseCommandRules[] = {
    {Kind::kReleaseHalt, agreement::PHASE_ROLLING, agreement::RELEASE_HALT, " is halted"},
    {Kind::kReleaseHalt, agreement::PHASE_SOAKING, agreement::RELEASE_HALT, " is halted"},
    {Kind::kReleaseHalt, agreement::PHASE_ROLLING_BACK, agreement::RELEASE_HALT, " is halted"},

    {Kind::kReleaseResume, agreement::PHASE_HALTED, agreement::RELEASE_RESUME, " is resumed"},
    {Kind::kReleaseResume, agreement::PHASE_ROLLBACK_HALTED, agreement::RELEASE_RESUME, " is resumed"},

    {Kind::kReleaseRollback, agreement::PHASE_ROLLING, agreement::RELEASE_ROLL_BACK, " is being rolled back"},
    {Kind::kReleaseRollback, agreement::PHASE_SOAKING, agreement::RELEASE_ROLL_BACK, " is being rolled back"},
    {Kind::kReleaseRollback, agreement::PHASE_HALTED, agreement::RELEASE_ROLL_BACK, " is being rolled back"},

    {Kind::kReleaseEnd, agreement::PHASE_HALTED, agreement::RELEASE_FINISH,
     " is ended; servers keep their current versions"},
    {Kind::kReleaseEnd, agreement::PHASE_ROLLBACK_HALTED, agreement::RELEASE_FINISH,
     " is ended; servers keep their current versions"},
};

template <class Names>
std::optional<Kind> kind_of(const Names& names, const std::string& name) {
  for (const CommandName& command : names) {
    if (command.name == name) return command.kind;
  }
  return std::nullopt;
}

// Returns the server of this name, else the servers of the zone, else the servers that use the service.
std::vector<std::string> servers_matching(const fleet::Fleet& fleet, const std::string& name) {
  if (fleet.node(name)) return {name};
  std::vector<std::string> out;
  for (const fleet::Node& node : fleet.nodes) {
    if (node.zone == name) out.push_back(node.name);
  }
  for (const fleet::Service& service : fleet.services) {
    if (out.empty() && service.name == name) return service.used_by;
  }
  return out;
}

// Returns why these servers can't all be taken out at once; no value: they can.
std::optional<BudgetError> find_budget_error(const RolloutContext& context,
                                             const std::vector<std::string>& nodes) {
  const fleet::Fleet& fleet = context.view.router.fleet();
  DisruptionBudget budget(fleet, context.all_servers(), context.leased);
  for (const std::string& node : nodes) {
    if (auto error = budget.check(node, fleet.maintenance.reserve)) return error;
    budget.mark_unavailable(node);
  }
  return std::nullopt;
}

std::string execute_drain(const RolloutContext& context, const OperatorCommand& command,
                          agreement::Decision& out) {
  bool is_drain = command.kind == Kind::kDrain;
  std::vector<std::string> nodes = servers_matching(context.view.router.fleet(), command.target);
  if (nodes.empty()) throw CommandError("no server, zone or service is named '" + command.target + "'");
  int changed = 0;
  for (const std::string& node : nodes) {
    if (context.maintenance.drains().contains(node) == is_drain) continue;
    agreement::DrainStep& step = *out.add_drains();
    step.set_node(node);
    step.set_wanted(is_drain);
    ++changed;
  }
  std::string answer = std::to_string(changed) + " of " + std::to_string(nodes.size()) + " servers ";
  if (!is_drain) return answer + "return to service";
  std::optional<BudgetError> error = find_budget_error(context, nodes);
  if (!error) return answer + "are being drained";
  return answer + "are drained as soon as the budgets allow it: " + error->text();
}

std::string name_of(const agreement::Release& release) {
  return "release " + std::to_string(release.id()) + " '" + release.plan().name() + "'";
}

std::string execute_start(const RolloutContext& context, const OperatorCommand& command,
                          agreement::Decision& out) {
  const agreement::Release& current = context.release;
  if (agreement::MaintenanceState::is_release_in_progress(current.phase())) {
    throw CommandError(name_of(current) + " is " + agreement::name_of(current.phase()) +
                       ": end it or roll it back first");
  }
  std::optional<agreement::Plan> plan = parse_release_plan(command.argument);
  if (!plan) throw CommandError("this version can't parse the release plan");
  std::size_t not_accepting = 0;
  for (const auto& [node, server] : context.servers)
    not_accepting += server->last_report_at > 0 && !server->report.accepts_assignments;
  if (not_accepting > 0) {
    throw CommandError(std::to_string(not_accepting) +
                       " servers accept no shard assignments: set obey = true in their settings");
  }
  out.mutable_release()->set_input(agreement::RELEASE_START);
  *out.mutable_release()->mutable_plan() = *plan;
  return "release " + std::to_string(current.id() + 1) + " '" + plan->name() + "' is started";
}

std::string execute_release_event(const RolloutContext& context, const OperatorCommand& command,
                                  agreement::Decision& out) {
  const agreement::Release& current = context.release;
  const ReleaseCommandRule* rule =
      std::find_if(std::begin(kReleaseCommandRules), std::end(kReleaseCommandRules),
                   [&](const ReleaseCommandRule& candidate) {
                     return candidate.kind == command.kind && candidate.phase == current.phase();
                   });
  if (rule == std::end(kReleaseCommandRules))
    throw CommandError(name_of(current) + " is " + agreement::name_of(current.phase()));
  std::string reason = command.argument.empty() ? "" : ": " + command.argument.substr(0, kMaxReason);
  out.mutable_release()->set_input(rule->event);
  out.mutable_release()->set_reason("by operator" + reason);
  return name_of(current) + rule->answer;
}

}  // namespace

OperatorCommand parse_command(const std::string& text) {
  std::istringstream in(text);
  std::string command;
  std::string second;
  std::string rest;
  in >> command >> second;
  std::getline(in >> std::ws, rest);
  if (auto kind = kind_of(kDrainCommands, command)) return {.kind = *kind, .target = second, .argument = ""};
  if (command != "release") throw CommandError("unknown command");
  auto kind = kind_of(kReleaseCommands, second);
  if (!kind) throw CommandError("unknown command: release " + second);
  return {.kind = *kind, .target = "", .argument = rest};
}

std::string execute(const RolloutContext& context, const OperatorCommand& command, agreement::Decision& out) {
  switch (command.kind) {
    case Kind::kDrain:
    case Kind::kUndrain:
      return execute_drain(context, command, out);
    case Kind::kReleaseStart:
      return execute_start(context, command, out);
    default:
      return execute_release_event(context, command, out);
  }
}

}  // namespace myrtlecroft::releases
