// The registry's record of one server: its state, last report, recent sums and weight.
//
// Written only by ServerRegistry and its components; read by the rest of routing, by releases and by the
// admin queries. Plain data, used on the registry's thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "myrtlecroft/decaying_sum.h"
#include "report/load_report.h"

namespace myrtlecroft::routing {

// The state that decides whether a server is in rotation.
enum class ServerState {
  kAssumedHealthy,  // no report since this process started; stays in rotation
  kSlowStart,       // in rotation with a growing weight
  kServing,
  kDraining,      // reports that it is draining
  kUnhealthy,     // reports that it is stalled or its engine is down
  kUnresponsive,  // accepts requests and answers none
  kLost           // sends no reports
};
constexpr int kServerStateCount = 7;
// Returns the name used in log lines; routing_state::stored_name() returns the one that is stored and sent.
const char* name_of(ServerState state);
// Whether a server in this state is out of rotation because of a fault, not for a drain or maintenance.
inline bool has_failed(ServerState state) {
  return state == ServerState::kUnhealthy || state == ServerState::kUnresponsive ||
         state == ServerState::kLost;
}

// Time constant of the recent sums below.
constexpr Nanos kRecentSumTimeConstant = 2 * kSecond;

// The share that one request class of a report has of the requests that the server received.
struct RequestClassShare {
  int request_class = -1;  // index into the fleet's request classes; -1: not in the fleet file
  double share = 0;
};

// Recent sums over the reports of a server; numbers of requests unless stated otherwise.
struct ReportedSums {
  DecayingSum received{kRecentSumTimeConstant};
  DecayingSum rejected{kRecentSumTimeConstant};
  DecayingSum answered{kRecentSumTimeConstant};   // without the rejected ones
  DecayingSum in_time{kRecentSumTimeConstant};    // answered within the latency objective
  DecayingSum occupancy{kRecentSumTimeConstant};  // running and queued requests, summed over the reports
  DecayingSum reports{kRecentSumTimeConstant};    // number of reports
};

// Recent sums of the numbers of requests that proxies counted for a server.
struct ProxySums {
  DecayingSum issued{kRecentSumTimeConstant};
  DecayingSum succeeded{kRecentSumTimeConstant};
  DecayingSum failed{kRecentSumTimeConstant};
  Nanos last_success_at = 0;  // 0 = no proxy has reported yet
};

// The status of one server. Times are on the registry's clock; 0 means never, unless stated otherwise.
struct ServerStatus {
  fleet::Node node;
  ServerState state = ServerState::kAssumedHealthy;
  Nanos state_since = 0;
  bool kept_in_rotation = false;  // has failed, but the panic threshold allows no more servers out
  bool out_for_maintenance = false;
  bool connected = false;         // its report connection is up
  std::uint64_t incarnation = 0;  // 0 = not known
  std::uint32_t version = 0;      // version that the server runs, by its last report

  Nanos last_report_at = 0;    // 0 = no report since this process started
  Nanos last_progress_at = 0;  // when it last answered a request or had none to answer
  report::LoadReport report{};
  std::vector<RequestClassShare> request_class_shares{};  // in the order of the report's request classes
  ReportedSums reported{};
  ProxySums proxies{};

  double weight = 1;             // share of its capacity, from Bounds::min_weight to 1
  double slow_start_factor = 1;  // share of its weight, from Bounds::initial_slow_start_factor to 1
  Nanos returned_at = 0;         // when it last returned to rotation
  int flaps = 0;                 // number of failures soon after a return
  Nanos stable_since = 0;        // the number of flaps is reduced after a stable time

  // Whether this control service keeps the server in rotation.
  bool in_service() const {
    return !out_for_maintenance && (kept_in_rotation || state == ServerState::kAssumedHealthy ||
                                    state == ServerState::kSlowStart || state == ServerState::kServing);
  }
  // Whether the server serves at its usual speed: only such servers count as remaining capacity while others
  // are out.
  bool at_full_capacity() const {
    return !out_for_maintenance && state == ServerState::kServing && !report.warming_up;
  }
  // Returns the mean number of requests running or queued at the server over its recent reports.
  double mean_requests(Nanos now) const {
    double count = reported.reports.read(now);
    return count > 0 ? reported.occupancy.read(now) / count : 0;
  }
  // The server's capacity reduced by its weight and slow start; published weights are proportional to it.
  double effective_capacity() const { return node.capacity * weight * slow_start_factor; }
};

// Returns the number of requests that the server has received and not answered yet.
std::uint64_t count_unanswered(const report::LoadReport& report);

// The numbers of requests in a report, summed over all request classes.
struct ReportTotals {
  std::uint64_t received = 0;
  std::uint64_t rejected = 0;
  std::uint64_t answered = 0;  // including rejected ones
  std::uint64_t in_time = 0;
};
ReportTotals compute_totals(const report::LoadReport& report);

}  // namespace myrtlecroft::routing
