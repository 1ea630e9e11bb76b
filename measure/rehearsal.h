// Runs real servers and a real control service with stand-in engines, database and proxies on loopback. A
// fixed load with a script of faults is routed either by the control service or by even, static weights.
#pragma once

#include <string>

namespace myrtlecroft::measure {

// Counts of one rehearsal.
struct RehearsalResult {
  int offered = 0;     // requests of clients, without retries
  double benefit = 0;  // weight of completed requests (half when late) / weight of all
  int completed = 0;
  int rejected = 0;
  int failed = 0;
  int lost_requests = 0;     // read by a server that was not killed, and not answered
  int duplicate_runs = 0;    // runs of a key beyond its first within the deduplication window
  int drain_violations = 0;  // runs of requests that arrived after the grace
  int half_applied = 0;      // resource sets that a proxy applied only in part
  std::string table;         // one row a second
};

// Options of one rehearsal.
struct RehearsalOptions {
  int instances = 1;          // replicas of the control service; 0: even, static weights
  bool single_fault = false;  // plays a single fault, for a demonstration
  double requests_per_s = 300;
  unsigned seed = 7;
};

// Runs the rehearsal on the calling thread until its load has ended (16 or 36 s, after the start).
RehearsalResult play(const RehearsalOptions& options);

}  // namespace myrtlecroft::measure
