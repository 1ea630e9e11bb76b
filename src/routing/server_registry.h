// The servers of the fleet as this control service knows them: which are in rotation, and with which weight.
//
// A server's own report of its mode and window is authoritative (docs/design/control-xds.md). The registry
// detects what a server can't report: that it is silent, that it accepts requests and answers none, or that
// it has restarted as another incarnation. Owned by Router, called on its thread. No I/O; the time is passed
// in.
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

// Numbers of requests that proxies counted for one server since their last load report.
struct ProxyCounts {
  std::string node;
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// Tracks the state, weight and reported load of each server.
class ServerRegistry {
 public:
  // Receives one log line for each state change, with the measurements behind it.
  using Log = std::function<void(const std::string&)>;
  ServerRegistry(const fleet::Fleet& fleet, Nanos now, Log log);

  // Applies a new fleet file. Servers with an unchanged address retain their status.
  void update_fleet(const fleet::Fleet& fleet, Nanos now);

  enum class Verdict {
    kAccepted,
    kUnknownNode,
    kAddressMismatch,  // the fleet file is authoritative: another process reports under this name
    kClockAhead,       // deadlines depend on the server's clock: with a wrong one it must not seem healthy
    kStale             // of an earlier incarnation, or older than an accepted report
  };
  // Handles a server's load report. `unix_now`: the wall clock, in nanoseconds since the Unix epoch.
  Verdict handle_report(const report::LoadReport& report, Nanos now, std::int64_t unix_now);
  // Handles the opening (`up`) or loss of a server's report connection.
  void handle_report_connection(const std::string& node, bool up, Nanos now);
  void handle_proxy_counts(const ProxyCounts& counts, Nanos now);
  // Restores a server's state from before a restart; ignores servers that the fleet file doesn't name.
  void restore(const PersistedState::Node& node);
  // Sets the complete list of servers that are out for maintenance.
  void set_out_for_maintenance(const std::set<std::string>& nodes);

  // Evaluates all inputs; to be called several times a second. Returns whether the connectivity state or the
  // state of a server changed.
  bool step(Nanos now);

  const std::vector<ServerStatus>& all() const { return servers_; }
  // Returns the server of that name, or nullptr if the fleet file doesn't name it.
  const ServerStatus* server(const std::string& name) const;
  // Returns the server's index in all(), or -1. Indices are valid until layout_generation() changes.
  int index_of(const std::string& name) const;
  // Returns the server that listens at `address` ("host:port"), or nullptr.
  const ServerStatus* server_at_address(const std::string& address) const;
  // Increases with each accepted fleet file; greater than 0.
  std::uint64_t layout_generation() const { return layout_generation_; }
  ConnectivityState view() const { return connectivity_.view(); }

 private:
  StateContext context() const {
    return {.bounds = bounds_,
            .now = now_,
            .reports_due_since = connectivity_.view_since(),
            .longest_latency_objective = longest_latency_objective_};
  }
  ServerStatus* find(const std::string& name);
  void index_servers();
  void add_counts(ReportedSums& sums, const ReportTotals& before, const ReportTotals& totals) const;
  void update_request_class_shares(ServerStatus& server, const report::LoadReport& report) const;
  void exclude_own_pause();
  void update_connectivity();
  void change_state(ServerStatus& server, const StateChange& change);
  void count_flap(ServerStatus& server) const;
  void handle_return(ServerStatus& server);
  void release_kept_in_rotation();

  fleet::Bounds bounds_;
  Nanos longest_latency_objective_ = 0;
  std::vector<ServerStatus> servers_;
  std::unordered_map<std::string, int> indices_by_name_;     // never iterated: its order has no effect
  std::unordered_map<std::string, int> indices_by_address_;  // the same
  std::unordered_map<std::string, int>
      request_classes_;  // the same; indices into the fleet's request classes
  std::uint64_t layout_generation_ = 0;
  Connectivity connectivity_;
  PanicThreshold panic_threshold_;
  WeightAdjuster weights_;
  Nanos now_;
  Nanos last_step_at_ = 0;  // 0 = no step yet
  bool changed_ = false;    // a state changed in this step
  Log log_;
};

}  // namespace myrtlecroft::routing
