// What the registry knows of one server: its state, its last report, recent sums and its weight.
//
// Written by ServerRegistry and its parts only; read by the rest of routing, by releases and by the admin
// queries. No I/O; plain data on the thread of the registry.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "myrtlecroft/decaying_sum.h"
#include "report/load_report.h"

namespace myrtlecroft::routing {

enum class ServerState {
  kAssumedHealthy,  // no report since this process started; keeps the place it had before
  kSlowStart,       // in rotation with a weight that grows
  kServing,
  kDraining,      // by its own report
  kUnhealthy,     // by its own report: it is stalled, or its engine is down
  kUnresponsive,  // accepts requests and answers none
  kLost           // sends no reports
};
constexpr int kServerStateCount = 7;
// The wording of log lines; routing_state::stored_name() has the names that are stored and sent.
const char* name_of(ServerState state);
// Out of rotation because of a fault, and not by a drain or for maintenance.
inline bool has_failed(ServerState state) {
  return state == ServerState::kUnhealthy || state == ServerState::kUnresponsive ||
         state == ServerState::kLost;
}

// How quickly the recent sums below forget.
constexpr Nanos kRecent = 2 * kSecond;

// One request class of a report: its place among the fleet's, and its share of what the server received.
struct RequestClassShare {
  int request_class = -1;  // -1: the fleet file names no such class
  double share = 0;
};

// Recent sums over the reports of a server. Requests, unless stated otherwise.
struct ReportedSums {
  DecayingSum received{kRecent};
  DecayingSum rejected{kRecent};
  DecayingSum answered{kRecent};   // and not rejected
  DecayingSum in_time{kRecent};    // of these, within the latency objective
  DecayingSum occupancy{kRecent};  // running and queued, added up over the reports
  DecayingSum reports{kRecent};    // reports
};

// Recent sums over what the proxies counted for a server. Requests.
struct ProxySums {
  DecayingSum issued{kRecent};
  DecayingSum succeeded{kRecent};
  DecayingSum failed{kRecent};
  Nanos last_success_at = 0;  // 0 = no proxy has reported yet
};

// Times are those that the registry was given; 0 where the thing never happened, unless stated otherwise.
struct ServerStatus {
  fleet::Node node;
  ServerState state = ServerState::kAssumedHealthy;
  Nanos state_since = 0;
  bool kept_in_rotation = false;  // has failed, but the panic threshold allows no more servers out
  bool out_for_maintenance = false;
  bool connected = false;         // its report connection is up
  std::uint64_t incarnation = 0;  // 0 = not known
  std::uint32_t version = 0;      // that it runs, by its last report

  Nanos last_report_at = 0;    // 0 = none since this process started
  Nanos last_progress_at = 0;  // last answered a request, or had none to answer
  report::LoadReport report{};
  std::vector<RequestClassShare> request_class_shares{};  // in the order of the report's request classes
  ReportedSums reported{};
  ProxySums proxies{};

  double weight = 1;             // share of its capacity, from Bounds::min_weight to 1
  double slow_start_factor = 1;  // share of its weight, from Bounds::initial_slow_start_factor to 1
  Nanos returned_at = 0;         // last came back into rotation
  int flaps = 0;                 // times that it failed soon after it came back
  Nanos stable_since = 0;        // a flap is forgiven after some time without one

  // In rotation as far as this control service decides it.
  bool in_service() const {
    return !out_for_maintenance && (kept_in_rotation || state == ServerState::kAssumedHealthy ||
                                    state == ServerState::kSlowStart || state == ServerState::kServing);
  }
  // Serving at its usual speed: only such servers count as capacity that remains while others are out.
  bool at_full_capacity() const {
    return !out_for_maintenance && state == ServerState::kServing && !report.warming_up;
  }
  // Requests running or queued at the server, averaged over its recent reports.
  double mean_requests(Nanos now) const {
    double count = reported.reports.read(now);
    return count > 0 ? reported.occupancy.read(now) / count : 0;
  }
  // What its weight among the servers is made from, in units of capacity.
  double effective_capacity() const { return node.capacity * weight * slow_start_factor; }
};

// What a server has received and not answered yet, by its last report.
std::uint64_t unanswered(const report::LoadReport& report);

// The counts of a report over all request classes.
struct ReportTotals {
  std::uint64_t received = 0;
  std::uint64_t rejected = 0;
  std::uint64_t answered = 0;  // rejected ones included
  std::uint64_t in_time = 0;
};
ReportTotals totals_of(const report::LoadReport& report);

}  // namespace myrtlecroft::routing
