// Whether this control service itself is cut off from the servers, by how many of them report.
//
// When most servers fall silent at once, it is more likely that this process lost its network than that they
// all died: nothing is then changed for missing reports. Called by ServerRegistry once a step. No I/O.
#pragma once

#include <optional>
#include <vector>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

// What this control service sees of the fleet.
enum class ConnectivityState {
  kRestoring,   // just started, too few servers have reported: what was served before is served on
  kConnected,   // decisions follow the reports
  kPartitioned  // too many servers fell silent at once: no server is put out for missing reports
};
// The wording of log lines; routing_state::stored_name() has the names that are sent.
const char* name_of(ConnectivityState view);

class Connectivity {
 public:
  explicit Connectivity(Nanos now) : since_(now) {}

  struct Change {
    ConnectivityState from;
    ConnectivityState to;
    const char* reason;
    double reporting_share;  // of the capacity in rotation
  };
  // Follows the reports of the servers. The change, where there is one.
  std::optional<Change> step(const std::vector<ServerStatus>& servers, const fleet::Bounds& bounds,
                             Nanos now);
  // Leaves a pause of this process out of account, in which no report could be read.
  void excuse_pause(Nanos pause, Nanos now);

  ConnectivityState view() const { return view_; }
  // When the view last changed, pauses of this process left out.
  Nanos since() const { return since_; }

 private:
  struct Inputs {
    double reporting_share;         // within Bounds::lost_after, of the capacity in rotation
    double recent_reporting_share;  // within half of that
    bool any_report;                // since this process started
    bool settled;                   // the view has lasted for Bounds::lost_after
    double partition_threshold;
  };
  struct Row {
    ConnectivityState view;
    bool (*condition)(const Inputs&);
    ConnectivityState next;
    const char* reason;
  };
  static const std::vector<Row> kRows;

  ConnectivityState view_ = ConnectivityState::kRestoring;
  Nanos since_;
};

}  // namespace myrtlecroft::routing
