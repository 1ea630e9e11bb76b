// The servers of the fleet as this control service knows them: which are in rotation, and with what weight.
//
// What a server reports of itself counts (docs/design/control-xds.md): its mode and its window are taken as
// reported. What a server can't report is found here: that it is silent, that it accepts requests and answers
// none, that it came back as another incarnation. Owned by Router, called on its thread. No I/O; the time
// comes with each input.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "report/load_report.h"
#include "routing/connectivity.h"
#include "routing/panic_threshold.h"
#include "routing/persisted_state.h"
#include "routing/server_status.h"
#include "routing/weights.h"

namespace myrtlecroft::routing {

// What proxies counted for one server since their last load report. Requests.
struct ProxyCounts {
  std::string node;
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

class ServerRegistry {
 public:
  // Gets one line for each change, with its figures.
  using Log = std::function<void(const std::string&)>;
  ServerRegistry(const fleet::Fleet& fleet, Nanos now, Log log);

  // A new fleet file: servers that stay at their address keep all that is known of them.
  void update_fleet(const fleet::Fleet& fleet, Nanos now);

  enum class Verdict {
    kAccepted,
    kUnknownNode,
    kAddressMismatch,  // the fleet file counts: another process goes by this name
    kClockAhead,  // deadlines depend on the server's clock: with a wrong one it must not pass for healthy
    kStale        // of an earlier incarnation, or older than one that was accepted
  };
  // `unix_now`: this machine's wall clock, in nanoseconds.
  Verdict handle_report(const report::LoadReport& report, Nanos now, std::int64_t unix_now);
  void handle_report_connection(const std::string& node, bool up, Nanos now);
  void handle_proxy_counts(const ProxyCounts& counts, Nanos now);
  // What was known before a restart; nothing for a server that the fleet file doesn't name.
  void restore(const PersistedState::Node& node);
  // Exactly these are out for maintenance from here on.
  void set_out_for_maintenance(const std::set<std::string>& nodes);

  // Follows the inputs; several times a second. True where the view or a server's state changed.
  bool step(Nanos now);

  const std::vector<ServerStatus>& all() const { return servers_; }
  // nullptr for a name that the fleet file doesn't have.
  const ServerStatus* server(const std::string& name) const;
  // Its place in all(), or -1. Places stand until the layout changes.
  int index_of(const std::string& name) const;
  // The server that listens there, or nullptr.
  const ServerStatus* server_at_address(const std::string& address) const;
  // Grows with each fleet file that is accepted; above 0.
  std::uint64_t layout_generation() const { return layout_; }
  ConnectivityState view() const { return connectivity_.view(); }

 private:
  StateContext context() const {
    return {.bounds = bounds_,
            .now = now_,
            .reports_due_since = connectivity_.since(),
            .longest_latency_objective = longest_latency_objective_};
  }
  ServerStatus* find(const std::string& name);
  void index_servers();
  void add_counts(ReportedSums& sums, const ReportTotals& before, const ReportTotals& totals) const;
  void note_request_classes(ServerStatus& server, const report::LoadReport& report) const;
  void excuse_own_pause();
  void follow_connectivity();
  void change_state(ServerStatus& server, const StateChange& change);
  void count_flap(ServerStatus& server) const;
  void returned(ServerStatus& server);
  void release_kept_in_rotation();

  fleet::Bounds bounds_;
  Nanos longest_latency_objective_ = 0;
  std::vector<ServerStatus> servers_;
  std::unordered_map<std::string, int> places_;             // only looked up: its order has no effect
  std::unordered_map<std::string, int> places_by_address_;  // the same
  std::unordered_map<std::string, int> request_classes_;    // the same: places among the fleet's
  std::uint64_t layout_ = 0;
  Connectivity connectivity_;
  PanicThreshold panic_threshold_;
  WeightAdjuster weights_;
  Nanos now_;
  Nanos last_step_at_ = 0;  // 0 = no step yet
  bool changed_ = false;    // in this step
  Log log_;
};

}  // namespace myrtlecroft::routing
