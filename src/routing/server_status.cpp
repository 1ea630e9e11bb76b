// Names of server states, and sums over the request classes of a report.
#include "routing/server_status.h"

#include <algorithm>

namespace myrtlecroft::routing {

const char* name_of(ServerState state) {
  constexpr const char* kNames[kServerStateCount] = {"assumed healthy", "slow start",   "serving", "draining",
                                                     "unhealthy",       "unresponsive", "lost"};
  return kNames[static_cast<std::size_t>(state)];
}

ReportTotals compute_totals(const report::LoadReport& report) {
  ReportTotals out;
  for (const report::RequestClassCounts& counts : report.request_classes) {
    out.received += counts.read;
    out.rejected += counts.rejected;
    out.answered += counts.rejected + counts.completed + counts.terminated;
    out.in_time += counts.in_time;
  }
  return out;
}

std::uint64_t count_unanswered(const report::LoadReport& report) {
  ReportTotals totals = compute_totals(report);
  return totals.received - std::min(totals.received, totals.answered);
}

}  // namespace myrtlecroft::routing
