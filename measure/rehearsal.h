// Real servers, a real control service, stand-in engines, database and proxies, on loopback: one load with
// troubles in it, played either by what control serves or by even, static weights.
#pragma once

#include <string>

namespace myrtlecroft::measure {

struct Figures {
  int offered = 0;             // requests of clients
  double priority_weight = 0;  // of those completed, less when late, over that of all
  int completed = 0;
  int rejected = 0;
  int failed = 0;
  int lost = 0;              // read by a server that was not killed, and no answer came
  int doubled = 0;           // keys that ran more than once within their window
  int drain_violations = 0;  // runs of what came after the grace
  int half_applied = 0;
  std::string table;  // second by second
};

struct Play {
  int instances = 1;       // of the control service, that decide as one; 0: even, static weights
  bool short_one = false;  // one trouble, for a demonstration
  double per_second = 300;
  unsigned seed = 7;
};

Figures play(const Play& play);

}  // namespace myrtlecroft::measure
