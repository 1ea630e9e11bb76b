#include "releases/release_transitions.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "releases/rollout_plan.h"
#include "releases/update_queue.h"

namespace myrtlecroft::releases {
namespace {

using agreement::UpdatedServer;

// After a longer interruption of the agreement a release halts and waits for its operators.
constexpr Nanos kMaxInterruption = 5000 * kMs;

// Why a transition is due, as shown to operators; may be empty. No value: the transition is not due.
using Reason = std::optional<std::string>;

const std::string kNoReason;

// In `phase`, the release receives `event` if `due` returns a value.
struct TransitionRule {
  agreement::ReleasePhase phase;
  Reason (*due)(const ReleaseEvidence&);
  agreement::ReleaseInput event;
};

Reason quorum_was_lost(const ReleaseEvidence& evidence) {
  Nanos interruption = evidence.monitor.longest_interruption();
  if (interruption < kMaxInterruption) return std::nullopt;
  char line[80];
  std::snprintf(line, sizeof line, "no quorum for %.1f s",
                static_cast<double>(interruption) / static_cast<double>(kSecond));
  return line;
}

Reason service_alarm(const ReleaseEvidence& evidence) {
  return evidence.monitor.alarms().raised_alarm(evidence.context);
}

Reason too_many_servers_failed(const ReleaseEvidence& evidence) {
  std::vector<std::string> failed;
  for (const UpdatedServer& server : evidence.context.release.taken()) {
    if (!server.failed().empty()) failed.push_back(server.node() + " (" + server.failed() + ")");
  }
  if (failed.size() <= evidence.context.plan.most_failed()) return std::nullopt;
  return truncated_list(failed);
}

Reason too_many_servers_failed_with_rollback(const ReleaseEvidence& evidence) {
  return evidence.context.plan.way_back() ? too_many_servers_failed(evidence) : std::nullopt;
}

Reason analysis_failed(const ReleaseEvidence& evidence) {
  const AnalysisResult& result = evidence.monitor.analysis().result(evidence.context);
  if (result.verdict != AnalysisVerdict::kFail) return std::nullopt;
  return result.reason;
}

Reason analysis_failed_with_rollback(const ReleaseEvidence& evidence) {
  return evidence.context.plan.way_back() ? analysis_failed(evidence) : std::nullopt;
}

// Due if no server could be taken out for as long as one restart may take.
Reason blocked_too_long(const ReleaseEvidence& evidence) {
  const RolloutContext& context = evidence.context;
  Nanos since = std::max(evidence.grants.last_granted(), evidence.monitor.analysis().started_at());
  if (context.any_lease_for(agreement::REASON_RELEASE) || evidence.grants.blocked_reason().empty() ||
      context.view.now - since < context.plan.back_within_ns())
    return std::nullopt;
  return "no server could be taken out: " + evidence.grants.blocked_reason();
}

Reason wave_is_updated(const ReleaseEvidence& evidence) {
  if (evidence.context.any_lease_for(agreement::REASON_RELEASE)) return std::nullopt;
  if (!servers_to_update(evidence.context).empty()) return std::nullopt;
  return kNoReason;
}

Reason analysis_passed(const ReleaseEvidence& evidence) {
  const RolloutContext& context = evidence.context;
  PhaseAnalysis& analysis = evidence.monitor.analysis();
  if (context.view.now - analysis.started_at() < context.plan.soak_ns()) return std::nullopt;
  if (analysis.result(context).verdict != AnalysisVerdict::kPass) return std::nullopt;
  return kNoReason;
}

Reason last_wave_passed(const ReleaseEvidence& evidence) {
  const RolloutContext& context = evidence.context;
  if (context.release.wave() + 1 < wave_count(context.plan) || !analysis_passed(evidence))
    return std::nullopt;
  std::vector<std::string> others;
  for (const auto& [node, server] : context.servers) {
    if (!context.has_target_version(*server)) others.push_back(node);
  }
  return others.empty() ? kNoReason : "not in the target version: " + truncated_list(others);
}

Reason inconclusive_too_long(const ReleaseEvidence& evidence) {
  const PhaseAnalysis& analysis = evidence.monitor.analysis();
  if (evidence.context.view.now - analysis.started_at() < evidence.context.plan.longest_soak_ns())
    return std::nullopt;
  return "analysis inconclusive: " + analysis.latest().reason;
}

Reason all_rolled_back(const ReleaseEvidence& evidence) {
  const RolloutContext& context = evidence.context;
  if (context.any_lease_for(agreement::REASON_RELEASE) || context.any_lease_for(agreement::REASON_ROLLBACK))
    return std::nullopt;
  if (!servers_to_update(context).empty()) return std::nullopt;
  std::vector<std::string> others;
  for (const UpdatedServer& updated : context.release.taken()) {
    const routing::ServerStatus* server = context.server(updated.node());
    if (server && server->version != updated.from_version()) others.push_back(updated.node());
  }
  if (others.empty()) return context.release.reason();
  return context.release.reason() + "; not rolled back: " + truncated_list(others);
}

// The first rule of the present phase that is due determines the event.
constexpr TransitionRule kTransitionRules[] = {
    {agreement::PHASE_ROLLING, quorum_was_lost, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, analysis_failed_with_rollback, agreement::RELEASE_ROLL_BACK},
    {agreement::PHASE_ROLLING, analysis_failed, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, too_many_servers_failed_with_rollback, agreement::RELEASE_ROLL_BACK},
    {agreement::PHASE_ROLLING, too_many_servers_failed, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, service_alarm, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, blocked_too_long, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, wave_is_updated, agreement::RELEASE_WAVE_UPDATED},

    {agreement::PHASE_SOAKING, quorum_was_lost, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, analysis_failed_with_rollback, agreement::RELEASE_ROLL_BACK},
    {agreement::PHASE_SOAKING, analysis_failed, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, service_alarm, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, last_wave_passed, agreement::RELEASE_FINISH},
    {agreement::PHASE_SOAKING, analysis_passed, agreement::RELEASE_NEXT_WAVE},
    {agreement::PHASE_SOAKING, inconclusive_too_long, agreement::RELEASE_HALT},

    {agreement::PHASE_ROLLING_BACK, quorum_was_lost, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING_BACK, all_rolled_back, agreement::RELEASE_ROLLED_BACK},
};

}  // namespace

void propose_release_transition(const ReleaseEvidence& evidence, agreement::Decision& out) {
  for (const TransitionRule& rule : kTransitionRules) {
    if (rule.phase != evidence.context.release.phase()) continue;
    Reason reason = rule.due(evidence);
    if (!reason) continue;
    out.mutable_release()->set_input(rule.event);
    out.mutable_release()->set_reason(*reason);
    return;
  }
}

}  // namespace myrtlecroft::releases
