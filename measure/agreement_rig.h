// Plays an incident: real control instances, real servers and stand-in proxies on loopback, with a relay on
// each link between two processes, under load and under faults drawn from a seed. Used by measurements and
// tests. The checks rely on the engines, on the sets that proxies have applied and on logs, not on what the
// control service reports about itself.
#pragma once

#include <string>
#include <vector>

#include "incident.h"

namespace myrtlecroft::rehearsal {

struct RigOptions {
  bool replicated = true;  // false: each control instance decides alone
  Incident incident;
  // False: of the drawn faults only those of servers and their links are played, at the same times as with
  // true.
  bool control_faults = true;
  unsigned seed = 1;
  // Servers restart in batches of a fixed size at a fixed interval instead of by a release of the control
  // service.
  bool fixed_batch_restarts = false;
};

// The course of one release.
struct ReleaseOutcome {
  PlannedRelease planned;
  std::string outcome;           // "done", "taken back", or the phase in which the time ran out
  std::string reason;            // of the first halt or rollback
  bool stopped = false;          // it halted or was rolled back
  double max_updated_share = 0;  // the largest share of servers that ran the version before it stopped
  double duration_s = 0;
  double rollback_s = 0;  // from the halt to the end of the rollback
};

// Requests of all clients.
struct RigLoadCounts {
  int offered = 0;
  int completed = 0;
  int runs = 0;  // of keyed requests, at engines
  double completed_share() const { return offered > 0 ? static_cast<double>(completed) / offered : 0; }
};

// Counts of violated invariants; each must be 0.
struct RigViolations {
  int duplicate_runs = 0;     // a key ran twice within its window
  int lost_requests = 0;      // received by a server that kept running, and not answered
  int split_owners = 0;       // proxies with one shard open at two servers
  int stale_epochs = 0;       // a server acted on an older epoch than before
  int lost_entries = 0;       // an instance ended with fewer entries or other state than agreed on
  int not_recovered = 0;      // an instance had no quorum, or knew no leader, after all faults had ended
  int drain_violations = 0;   // received by a server whose restart was ordered, and not answered
  int crashes = 0;            // a server or an instance exited without an order
  int over_budget = 0;        // moments at which more servers were out by choice than the budgets allow
  int unpermitted_exits = 0;  // a server restarted by order while no release was under way

  int total() const {
    return duplicate_runs + lost_requests + split_owners + stale_epochs + lost_entries + not_recovered +
           drain_violations + crashes + over_budget + unpermitted_exits;
  }
};

// From a leader's failure to the next leader's first decision.
struct RigFailovers {
  int count = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

// Servers out by choice at one moment, and how many the budgets allow.
struct RigUnavailable {
  int max = 0;
  int allowed = 0;
  int service_max = 0;  // of one service
  int service_allowed = 0;
};

struct RigResult {
  int faults = 0;  // faults played
  RigLoadCounts load;
  RigViolations violations;
  RigFailovers failovers;
  RigUnavailable unavailable;
  std::vector<ReleaseOutcome> releases;
  std::string first_violation;  // the first violation with its time; empty: none
  std::string folder;           // folder of the logs, kept only after a violation; else empty
  std::string timeline;         // one line per second
};

// Plays the incident in the caller's thread and returns when it is over. Throws std::exception if a process
// can't be started or no port is free.
RigResult play(const RigOptions& options);

}  // namespace myrtlecroft::rehearsal
