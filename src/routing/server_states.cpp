// The transition table of server states, and the conditions that it refers to.
#include "routing/server_states.h"

#include <algorithm>
#include <array>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kBrokenConnectionDivisor = 4;  // of Bounds::lost_after, if the report connection broke
constexpr std::uint64_t kMinUnanswered = 3;    // requests, as counted by the server
constexpr double kMinIssued = 8;               // recent requests, as counted by proxies
constexpr double kMaxAnsweredShare = 0.02;     // of the issued requests
// Of the latency objective: a shorter time without answers is not significant.
constexpr double kMinObjectiveShare = 0.5;
// Of the received requests: above this, proxies see little but rejections.
constexpr double kMaxRejectedShare = 0.5;

bool is_draining(const ServerStatus& server, const StateContext&) { return server.report.draining; }

bool is_unhealthy(const ServerStatus& server, const StateContext&) {
  return server.last_report_at > 0 && (!server.report.engine_up || server.report.mode == Mode::kStalled);
}

Nanos unresponsive_after(const StateContext& context) {
  double objective = static_cast<double>(context.longest_latency_objective);
  return std::max(context.bounds.unresponsive_after, static_cast<Nanos>(kMinObjectiveShare * objective));
}

// The server hangs without detecting it: it still reports and receives requests.
bool is_unresponsive_by_reports(const ServerStatus& server, const StateContext& context) {
  return count_unanswered(server.report) >= kMinUnanswered &&
         server.last_report_at - server.last_progress_at > unresponsive_after(context);
}

// The server's reports show progress, but no answer reaches the proxies. To proxies that count rejections as
// errors, a server that rejects almost everything looks the same; its own count of rejections distinguishes
// the two cases.
bool is_unresponsive_by_proxies(const ServerStatus& server, const StateContext& context) {
  const Nanos now = context.now;
  double issued = server.proxies.issued.read(now);
  return issued >= kMinIssued && server.proxies.succeeded.read(now) < kMaxAnsweredShare * issued &&
         now - server.proxies.last_success_at > unresponsive_after(context) &&
         server.reported.rejected.read(now) <= kMaxRejectedShare * server.reported.received.read(now);
}

bool is_unresponsive(const ServerStatus& server, const StateContext& context) {
  return is_unresponsive_by_reports(server, context) || is_unresponsive_by_proxies(server, context);
}

bool is_reporting_drain(const ServerStatus& server, const StateContext& context) {
  return is_reporting(server, context) && is_draining(server, context);
}

bool is_healthy(const ServerStatus& server, const StateContext& context) {
  return is_reporting(server, context) && !is_draining(server, context) && !is_unhealthy(server, context);
}

bool is_warming_up(const ServerStatus& server, const StateContext& context) {
  return is_healthy(server, context) && server.report.warming_up;
}

bool has_restarted_warm_up(const ServerStatus& server, const StateContext&) {
  return server.report.warming_up && server.slow_start_factor >= 1;
}

bool has_finished_slow_start(const ServerStatus& server, const StateContext&) {
  return server.slow_start_factor >= 1 && !server.report.warming_up;
}

// The time out of rotation doubles with each flap of the server.
bool has_been_out_long_enough(const ServerStatus& server, const StateContext& context) {
  Nanos min_time_out_of_rotation = context.bounds.min_time_out_of_rotation
                                   << std::min(server.flaps, kMaxFlaps);
  return context.now - server.state_since >= min_time_out_of_rotation;
}

bool may_return(const ServerStatus& server, const StateContext& context) {
  return is_healthy(server, context) && has_been_out_long_enough(server, context);
}

bool may_return_warming_up(const ServerStatus& server, const StateContext& context) {
  return is_warming_up(server, context) && has_been_out_long_enough(server, context);
}

struct Transition {
  ServerState state;
  bool (*condition)(const ServerStatus&, const StateContext&);
  ServerState next;
  const char* reason;
};

constexpr const char* kReportsDraining = "reports that it is draining";
constexpr const char* kNoReport = "no report";
constexpr const char* kReportsFault = "reports that it is stalled or its engine is down";
constexpr const char* kNoAnswers = "accepts requests and answers none";

// The first matching transition applies. For each state, the server's own reports come before observations of
// it.
using enum ServerState;
constexpr std::array kTransitions = {
    Transition{kAssumedHealthy, is_draining, kDraining, kReportsDraining},
    Transition{kAssumedHealthy, reports_overdue, kLost, kNoReport},
    Transition{kAssumedHealthy, is_unhealthy, kUnhealthy, kReportsFault},
    Transition{kAssumedHealthy, is_warming_up, kSlowStart, "reports, is warming up"},
    Transition{kAssumedHealthy, is_healthy, kServing, "reports"},

    Transition{kSlowStart, is_draining, kDraining, kReportsDraining},
    Transition{kSlowStart, reports_overdue, kLost, kNoReport},
    Transition{kSlowStart, is_unhealthy, kUnhealthy, kReportsFault},
    Transition{kSlowStart, is_unresponsive, kUnresponsive, kNoAnswers},
    Transition{kSlowStart, has_finished_slow_start, kServing, "slow start and warm-up are complete"},

    Transition{kServing, is_draining, kDraining, kReportsDraining},
    Transition{kServing, reports_overdue, kLost, kNoReport},
    Transition{kServing, is_unhealthy, kUnhealthy, kReportsFault},
    Transition{kServing, is_unresponsive, kUnresponsive, kNoAnswers},
    Transition{kServing, has_restarted_warm_up, kSlowStart, "warm-up has started again"},

    Transition{kDraining, reports_overdue, kLost, "no report after its drain"},
    Transition{kDraining, may_return, kSlowStart, "no longer draining, or restarted"},

    Transition{kUnhealthy, is_draining, kDraining, kReportsDraining},
    Transition{kUnhealthy, reports_overdue, kLost, kNoReport},
    Transition{kUnhealthy, may_return, kSlowStart, "reports that it is healthy"},

    Transition{kUnresponsive, is_draining, kDraining, kReportsDraining},
    Transition{kUnresponsive, reports_overdue, kLost, kNoReport},
    Transition{kUnresponsive, is_unhealthy, kUnhealthy, kReportsFault},
    Transition{kUnresponsive, may_return, kSlowStart, "minimum time out of rotation is over"},

    Transition{kLost, is_reporting_drain, kDraining, "reports again, is draining"},
    Transition{kLost, may_return_warming_up, kSlowStart, "reports again, is warming up"},
    Transition{kLost, may_return, kServing, "reports again"},
};

}  // namespace

// Before a server's first report, the time counts from when reports could be received.
bool reports_overdue(const ServerStatus& server, const StateContext& context) {
  bool has_full_limit = server.connected || server.last_report_at == 0;
  Nanos limit =
      has_full_limit ? context.bounds.lost_after : context.bounds.lost_after / kBrokenConnectionDivisor;
  return context.now - std::max(server.last_report_at, context.reports_due_since) > limit;
}

bool is_reporting(const ServerStatus& server, const StateContext& context) {
  return server.last_report_at > 0 && !reports_overdue(server, context);
}

std::optional<StateChange> next_state(const ServerStatus& server, const StateContext& context,
                                      bool allow_lost) {
  for (const Transition& transition : kTransitions) {
    if (transition.state != server.state || !transition.condition(server, context)) continue;
    if (!allow_lost && transition.next == ServerState::kLost) continue;
    return StateChange{transition.next, transition.reason};
  }
  return std::nullopt;
}

}  // namespace myrtlecroft::routing
