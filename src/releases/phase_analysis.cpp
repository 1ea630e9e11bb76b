#include "releases/phase_analysis.h"

#include <set>
#include <string>

#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

constexpr unsigned kRoundsPerPhase = 4;  // within the plan's soak time
constexpr unsigned kPhasesPerWave = 2;   // rolling and soaking

}  // namespace

void PhaseAnalysis::begin(const std::vector<routing::ServerStatus>& servers, Nanos now) {
  latest_ = {};
  latest_at_ = now;
  analysis_.begin(servers, now);
}

const AnalysisResult& PhaseAnalysis::result(const RolloutContext& context) {
  Nanos interval = context.plan.soak_ns() / kRoundsPerPhase;
  if (context.view.now - latest_at_ < interval) return latest_;
  latest_at_ = context.view.now;
  latest_ = evaluate(context);
  return latest_;
}

AnalysisResult PhaseAnalysis::evaluate(const RolloutContext& context) const {
  std::set<std::string> canary;
  std::set<std::string> baseline;
  for (const auto& [node, server] : context.servers) {
    if (context.has_target_version(*server)) {
      canary.insert(node);
    } else if (!context.leased.contains(node)) {
      baseline.insert(node);
    }
  }
  // Without enough baseline servers for a comparison the version passes; the service alarms still apply.
  if (baseline.size() < kMinBaselineServers) return {AnalysisVerdict::kPass, ""};
  if (canary.empty()) return {};
  return analysis_.evaluate({.plan = context.plan,
                             .servers = context.all_servers(),
                             .canary = canary,
                             .baseline = baseline,
                             .rounds = kRoundsPerPhase * kPhasesPerWave * wave_count(context.plan),
                             .now = context.view.now});
}

}  // namespace myrtlecroft::releases
