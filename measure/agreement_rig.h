// Real instances of the control service, real servers, proxies that follow what they are served, on loopback,
// with a relay between any two that speak, under load and faults drawn from a seed. What is asserted is
// counted from engines, sets that proxies hold and logs, not from what control says of itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "incident.h"

namespace myrtlecroft::rehearsal {

struct RigOptions {
  bool agreed = true;  // false: control services that each decide alone, as before
  Incident incident;
  bool control_faults = true;  // false: of what is drawn, only what fails servers and their links is played,
                               // at the same moments
  unsigned seed = 1;
  // No release is agreed: servers are restarted in batches of a fixed size, one after a fixed time after the
  // other.
  bool plain_batches = false;
};

// One release, as it went.
struct ReleaseSeen {
  ReleaseWanted wanted;
  std::string outcome;   // "done", "taken back", or the phase in which the time ran out
  std::string reason;    // of a halt or a way back, the first
  bool stopped = false;  // it halted or went back
  double reached = 0;    // the most servers that ran it before it stopped, as a share
  double took_s = 0;
  double back_s = 0;  // from the halt to the way back's end
};

struct RigResult {
  int faults = 0;
  int offered = 0;
  int completed = 0;
  int runs = 0;
  int doubled = 0;             // keys that ran twice within their window
  int lost = 0;                // read by a server that lived on, and no answer came
  int split_owners = 0;        // proxies with one shard open at two servers, each once
  int stale_acted = 0;         // a server acted on an older epoch than before
  int lost_entries = 0;        // an instance ended with less, or with other than what was agreed
  int not_back = 0;            // instances out of touch, or without a leader, once all was well again
  double failover_p50_ms = 0;  // from the leader's fall to the next one's first decision
  double failover_p99_ms = 0;
  int failovers = 0;
  int drain_violations = 0;  // read by a server that went as it was told, and no answer came
  int crashed = 0;           // ended by itself, and not as it was told
  int over = 0;              // moments at which more was out by choice than may be
  int unpermitted = 0;       // went as it was told while no release was under way
  int max_unavailable = 0;   // servers, by choice, at one moment
  int allowed = 0;
  int below_max_unavailable = 0;  // of one service
  int below_allowed = 0;
  std::vector<ReleaseSeen> releases;
  std::string first;   // what went wrong first
  std::string folder;  // logs, kept where something went wrong
  std::string table;   // second by second
  double priority_weight() const { return offered > 0 ? static_cast<double>(completed) / offered : 0; }
  int violations() const {
    return doubled + lost + split_owners + stale_acted + lost_entries + not_back + drain_violations +
           crashed + over + unpermitted;
  }
};

RigResult play(const RigOptions& options);

}  // namespace myrtlecroft::rehearsal
