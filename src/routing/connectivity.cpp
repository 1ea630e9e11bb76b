// The transition table of the connectivity states and the shares of the fleet that its conditions use.
#include "routing/connectivity.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

// A partition is detected at this fraction of the time after which a server is lost, so that no server is
// taken out of rotation before most are known to be silent. Drawback: a fleet that really loses most servers
// at once keeps its old snapshot; requests to the dead servers are refused and retried at other servers.
constexpr Nanos kPartitionDetectionDivisor = 2;

// Returns the share of the capacity in rotation whose last report is at most `max_report_age` old; 1 if no
// server is in rotation.
double reporting_share(const std::vector<ServerStatus>& servers, Nanos max_report_age, Nanos now) {
  double total = 0;
  double reporting = 0;
  for (const ServerStatus& server : servers) {
    if (!server.in_service()) continue;
    total += server.node.capacity;
    if (server.last_report_at > 0 && now - server.last_report_at <= max_report_age)
      reporting += server.node.capacity;
  }
  return total > 0 ? reporting / total : 1;
}

}  // namespace

const char* name_of(ConnectivityState view) {
  constexpr const char* kNames[] = {"restoring", "connected", "partitioned"};
  return kNames[static_cast<std::size_t>(view)];
}

const std::vector<Connectivity::Transition> Connectivity::kTransitions = {
    {ConnectivityState::kRestoring,
     [](const Inputs& in) { return in.any_report && in.reporting_share >= in.partition_threshold; },
     ConnectivityState::kConnected, "enough servers have reported"},
    {ConnectivityState::kConnected,
     [](const Inputs& in) { return 1 - in.recent_reporting_share > in.partition_threshold; },
     ConnectivityState::kPartitioned, "too many servers fell silent at once"},
    {ConnectivityState::kPartitioned,
     [](const Inputs& in) { return in.settled && 1 - in.recent_reporting_share <= in.partition_threshold; },
     ConnectivityState::kConnected, "servers report again"},
};

std::optional<Connectivity::Change> Connectivity::step(const std::vector<ServerStatus>& servers,
                                                       const fleet::Bounds& bounds, Nanos now) {
  const bool any_report = std::any_of(servers.begin(), servers.end(),
                                      [](const ServerStatus& one) { return one.last_report_at > 0; });
  const Inputs inputs{
      .reporting_share = reporting_share(servers, bounds.lost_after, now),
      .recent_reporting_share = reporting_share(servers, bounds.lost_after / kPartitionDetectionDivisor, now),
      .any_report = any_report,
      .settled = now - view_since_ >= bounds.lost_after,
      .partition_threshold = bounds.partition_threshold};
  for (const Transition& transition : kTransitions) {
    if (transition.view != view_ || !transition.condition(inputs)) continue;
    view_ = transition.next;
    view_since_ = now;
    return Change{transition.view, transition.next, transition.reason, inputs.recent_reporting_share};
  }
  return std::nullopt;
}

void Connectivity::exclude_pause(Nanos pause, Nanos now) { view_since_ = std::min(now, view_since_ + pause); }

}  // namespace myrtlecroft::routing
