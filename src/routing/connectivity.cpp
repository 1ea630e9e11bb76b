// The table of views and the shares of the fleet that its conditions look at.
#include "routing/connectivity.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

// A partition is looked for at this part of the time after which a server is lost, so that none is put out
// before it is seen that most are silent. Harm: a fleet that truly loses most servers at once keeps its old
// snapshot; what is sent to the dead servers is refused there and retried elsewhere.
constexpr Nanos kEarlyDivisor = 2;

// The share of the capacity in rotation that has reported within this time; 1 where nothing is in rotation.
double reporting_share(const std::vector<ServerStatus>& servers, Nanos time, Nanos now) {
  double all = 0;
  double reporting = 0;
  for (const ServerStatus& server : servers) {
    if (!server.in_service()) continue;
    all += server.node.capacity;
    if (server.last_report_at > 0 && now - server.last_report_at <= time) reporting += server.node.capacity;
  }
  return all > 0 ? reporting / all : 1;
}

}  // namespace

const char* name_of(ConnectivityState view) {
  constexpr const char* kNames[] = {"restoring", "connected", "partitioned"};
  return kNames[static_cast<std::size_t>(view)];
}

const std::vector<Connectivity::Row> Connectivity::kRows = {
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
      .recent_reporting_share = reporting_share(servers, bounds.lost_after / kEarlyDivisor, now),
      .any_report = any_report,
      .settled = now - since_ >= bounds.lost_after,
      .partition_threshold = bounds.partition_threshold};
  for (const Row& row : kRows) {
    if (row.view != view_ || !row.condition(inputs)) continue;
    view_ = row.next;
    since_ = now;
    return Change{row.view, row.next, row.reason, inputs.recent_reporting_share};
  }
  return std::nullopt;
}

void Connectivity::excuse_pause(Nanos pause, Nanos now) { since_ = std::min(now, since_ + pause); }

}  // namespace myrtlecroft::routing
