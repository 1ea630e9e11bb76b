// Detects from the share of reporting servers whether this control service itself is cut off from them.
//
// If most servers fall silent at once, this process has more likely lost its network than all servers have
// died. Missing reports then change nothing. Called by ServerRegistry once in each step. No I/O.
#pragma once

#include <optional>
#include <vector>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

// How this control service is connected to the fleet.
enum class ConnectivityState {
  kRestoring,   // just started, too few servers have reported: the restored snapshot is served
  kConnected,   // decisions follow the reports
  kPartitioned  // too many servers fell silent at once: missing reports take no server out of rotation
};
// Returns the name used in log lines; routing_state::stored_name() returns the one in admin answers.
const char* name_of(ConnectivityState view);

// The state machine of ConnectivityState.
class Connectivity {
 public:
  explicit Connectivity(Nanos now) : view_since_(now) {}

  struct Change {
    ConnectivityState from;
    ConnectivityState to;
    const char* reason;
    double reporting_share;  // share of the capacity in rotation that reported recently
  };
  // Evaluates the age of the servers' reports. Returns the change of state, if any.
  std::optional<Change> step(const std::vector<ServerStatus>& servers, const fleet::Bounds& bounds,
                             Nanos now);
  // Excludes a pause of this process, in which no report could be read, from the current state's duration.
  void exclude_pause(Nanos pause, Nanos now);

  ConnectivityState view() const { return view_; }
  // The time of the last change, moved forward by the pauses of this process.
  Nanos view_since() const { return view_since_; }

 private:
  struct Inputs {
    double reporting_share;         // of the capacity in rotation, within Bounds::lost_after
    double recent_reporting_share;  // the same, within half of that time
    bool any_report;                // any server has reported since this process started
    bool settled;                   // the state has lasted for Bounds::lost_after
    double partition_threshold;
  };
  struct Transition {
    ConnectivityState view;
    bool (*condition)(const Inputs&);
    ConnectivityState next;
    const char* reason;
  };
  static const std::vector<Transition> kTransitions;

  ConnectivityState view_ = ConnectivityState::kRestoring;
  Nanos view_since_;
};

}  // namespace myrtlecroft::routing
