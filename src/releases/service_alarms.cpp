#include "releases/service_alarms.h"

#include <algorithm>
#include <cstdio>

namespace myrtlecroft::releases {
namespace {

constexpr double kMinAnswers = 20;  // recent answers that a late share must be based on
constexpr double kThousandths = 1000;

// Recent answers of the servers that use a service.
struct Answers {
  double all = 0;
  double in_time = 0;
};

// During a release, counts only servers without the new version. If the service becomes slow for these while
// a wave is updated, the new version is not at fault, but the release should not continue either.
Answers answers_of_users(const RolloutContext& context, const fleet::Service& service) {
  Answers out;
  bool rollout_in_progress = context.maintenance.release_in_progress();
  for (const std::string& node : service.used_by) {
    const routing::ServerStatus* server = context.server(node);
    if (!server || !server->in_service() || (rollout_in_progress && context.has_target_version(*server)))
      continue;
    out.all += server->reported.answered.read(context.view.now);
    out.in_time += server->reported.in_time.read(context.view.now);
  }
  return out;
}

}  // namespace

void ServiceAlarms::record_reference_shares() {
  for (auto& [name, late] : late_shares_) late.at_release_start = late.now;
}

void ServiceAlarms::restart_timers() {
  for (auto& [name, late] : late_shares_) late.above_since = 0;
}

void ServiceAlarms::measure(const RolloutContext& context) {
  for (const fleet::Service& service : context.view.router.fleet().services) {
    Answers answers = answers_of_users(context, service);
    LateShare& late = late_shares_[service.name];
    late.now = answers.all < kMinAnswers ? late.at_release_start
                                         : std::clamp(1 - answers.in_time / answers.all, 0.0, 1.0);
    if (!context.maintenance.release_in_progress()) {
      late.at_release_start = late.now;
      late.above_since = 0;
    } else if (late.now <= late.at_release_start + context.plan.alarm() / kThousandths) {
      late.above_since = 0;
    } else if (late.above_since == 0) {
      late.above_since = context.view.now;
    }
  }
}

std::optional<std::string> ServiceAlarms::raised_alarm(const RolloutContext& context) const {
  for (const auto& [name, late] : late_shares_) {
    if (late.above_since == 0 || context.view.now - late.above_since < context.plan.alarm_for_ns()) continue;
    char line[200];
    std::snprintf(line, sizeof line, "service %s: %.0f%% of its users' answers late, %.0f%% at the start",
                  name.c_str(), 100 * late.now, 100 * late.at_release_start);
    return line;
  }
  return std::nullopt;
}

}  // namespace myrtlecroft::releases
