// The table of states, above it the conditions that it names.
#include "routing/server_states.h"

#include <algorithm>
#include <array>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kBrokenConnectionDivisor = 4;  // of Bounds::lost_after, where the report connection broke
constexpr std::uint64_t kMinUnanswered = 3;    // requests, as the server counts them
constexpr double kMinIssued = 8;               // requests lately, as proxies count them
constexpr double kMaxAnsweredShare = 0.02;     // of these
constexpr double kMinObjectiveShare = 0.5;     // of the latency objective: a shorter pause proves nothing
constexpr double kMaxRejectedShare = 0.5;      // of what it received; above it, proxies see only rejections

bool is_draining(const ServerStatus& server, const StateContext&) { return server.report.draining; }

bool is_unhealthy(const ServerStatus& server, const StateContext&) {
  return server.last_report_at > 0 && (!server.report.engine_up || server.report.mode == Mode::kStalled);
}

Nanos unresponsive_after(const StateContext& context) {
  double objective = static_cast<double>(context.longest_latency_objective);
  return std::max(context.bounds.unresponsive_after, static_cast<Nanos>(kMinObjectiveShare * objective));
}

// The server hangs in a way that it does not detect itself: it goes on to report, and to receive requests.
bool is_unresponsive_by_reports(const ServerStatus& server, const StateContext& context) {
  return unanswered(server.report) >= kMinUnanswered &&
         server.last_report_at - server.last_progress_at > unresponsive_after(context);
}

// Its reports show progress, but no answer reaches the proxies. A server that rejects almost everything looks
// the same to proxies that count rejections as errors; its own count of rejections tells these cases apart.
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

// A server that flaps stays out for longer each time.
bool has_dwelt(const ServerStatus& server, const StateContext& context) {
  Nanos min_time_out_of_rotation = context.bounds.min_time_out_of_rotation
                                   << std::min(server.flaps, kMaxFlaps);
  return context.now - server.state_since >= min_time_out_of_rotation;
}

bool may_return(const ServerStatus& server, const StateContext& context) {
  return is_healthy(server, context) && has_dwelt(server, context);
}

bool may_return_warming_up(const ServerStatus& server, const StateContext& context) {
  return is_warming_up(server, context) && has_dwelt(server, context);
}

struct Row {
  ServerState state;
  bool (*condition)(const ServerStatus&, const StateContext&);
  ServerState next;
  const char* reason;
};

constexpr const char* kDrains = "reports that it is draining";
constexpr const char* kNoReport = "no report";
constexpr const char* kReportsFault = "reports that it is stalled or its engine is down";
constexpr const char* kNoAnswers = "accepts requests and answers none";

// The first row that applies is taken: what a server reports of itself first, then what is observed of it.
using enum ServerState;
constexpr std::array kRows = {
    Row{kAssumedHealthy, is_draining, kDraining, kDrains},
    Row{kAssumedHealthy, reports_overdue, kLost, kNoReport},
    Row{kAssumedHealthy, is_unhealthy, kUnhealthy, kReportsFault},
    Row{kAssumedHealthy, is_warming_up, kSlowStart, "reports, and is warming up"},
    Row{kAssumedHealthy, is_healthy, kServing, "reports"},

    Row{kSlowStart, is_draining, kDraining, kDrains},
    Row{kSlowStart, reports_overdue, kLost, kNoReport},
    Row{kSlowStart, is_unhealthy, kUnhealthy, kReportsFault},
    Row{kSlowStart, is_unresponsive, kUnresponsive, kNoAnswers},
    Row{kSlowStart, has_finished_slow_start, kServing, "slow start is over, and it is warmed up"},

    Row{kServing, is_draining, kDraining, kDrains},
    Row{kServing, reports_overdue, kLost, kNoReport},
    Row{kServing, is_unhealthy, kUnhealthy, kReportsFault},
    Row{kServing, is_unresponsive, kUnresponsive, kNoAnswers},
    Row{kServing, has_restarted_warm_up, kSlowStart, "came back warming up"},

    Row{kDraining, reports_overdue, kLost, "no report after its drain"},
    Row{kDraining, may_return, kSlowStart, "no longer draining, or another incarnation"},

    Row{kUnhealthy, is_draining, kDraining, kDrains},
    Row{kUnhealthy, reports_overdue, kLost, kNoReport},
    Row{kUnhealthy, may_return, kSlowStart, "reports that it is healthy"},

    Row{kUnresponsive, is_draining, kDraining, kDrains},
    Row{kUnresponsive, reports_overdue, kLost, kNoReport},
    Row{kUnresponsive, is_unhealthy, kUnhealthy, kReportsFault},
    Row{kUnresponsive, may_return, kSlowStart, "time out is over, tried again"},

    Row{kLost, is_reporting_drain, kDraining, "reports again, and is draining"},
    Row{kLost, may_return_warming_up, kSlowStart, "reports again, and is warming up"},
    Row{kLost, may_return, kServing, "reports again"},
};

}  // namespace

// Before the first report, the time runs from when reports could be received.
bool reports_overdue(const ServerStatus& server, const StateContext& context) {
  bool usual = server.connected || server.last_report_at == 0;
  Nanos limit = usual ? context.bounds.lost_after : context.bounds.lost_after / kBrokenConnectionDivisor;
  return context.now - std::max(server.last_report_at, context.reports_due_since) > limit;
}

bool is_reporting(const ServerStatus& server, const StateContext& context) {
  return server.last_report_at > 0 && !reports_overdue(server, context);
}

std::optional<StateChange> next_state(const ServerStatus& server, const StateContext& context,
                                      bool allow_lost) {
  for (const Row& row : kRows) {
    if (row.state != server.state || !row.condition(server, context)) continue;
    if (!allow_lost && row.next == ServerState::kLost) continue;
    return StateChange{row.next, row.reason};
  }
  return std::nullopt;
}

}  // namespace myrtlecroft::routing
