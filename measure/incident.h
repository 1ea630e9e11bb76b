// What is to fail when, in a rehearsal of real processes: from a file (docs/rehearse.md), or drawn from a
// seed.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::rehearsal {

enum class Fault {
  kKill,        // the process; it starts again on its folder afterwards
  kStop,        // stands still
  kStall,       // bytes wait where they are
  kClose,       // nobody gets through; who was through is reset
  kLate,        // each byte, by so much
  kReset,       // once
  kCutFrame,    // after so many bytes more that go there, once
  kLose,        // killed, and its folder is gone
  kDiskFails,   // every sync fails
  kDiskFull,    // every write does
  kDiskSlow,    // each sync takes so long
  kClock,       // the wall clock is off by so much
  kKillAtSync,  // killed as it begins its Nth sync from now; it starts again afterwards
  kNoise,       // a server's engine is slower by so many times
  kCommand      // operators say something to an instance
};
enum class Way { kThere, kBack, kBoth };  // seen from whom the step names

// Whom a step names: the leader, an instance, a server, a proxy's stream, or all of a kind.
struct Who {
  enum class Kind { kLeader, kInstance, kNode, kProxy };
  Kind kind = Kind::kLeader;
  int first = 0;
  int last = 0;  // of several
};

struct Step {
  Nanos at = 0;
  Nanos length = 0;
  Fault fault = Fault::kKill;
  Who who;
  // Of a link: the instances at its other end, as bits; all where it is not said.
  unsigned others = ~0u;
  Way way = Way::kBoth;
  Nanos by = 0;           // late, disk slow, clock
  std::size_t bytes = 0;  // cut frame
  int count = 0;          // kill at sync
  double times = 1;       // noise
  std::string say;        // command
};
std::string told(const Step& step);
// Of a link between two processes, not of one process.
bool on_links(Fault fault);

// What is wrong with a version of the server's program.
enum class Bad { kNone, kSlow, kUnderLoad, kLater, kOneClass, kLost };
constexpr int kBads = 6;
const char* name_of(Bad bad);

// Begins when the one before it is over.
struct ReleaseWanted {
  Nanos at = 0;
  int to = 2;
  Bad bad = Bad::kNone;
  int by = 0;  // the instance that is asked
};

struct Incident {
  int instances = 3;
  int nodes = 3;
  int proxies = 2;
  double keys_per_s = 100;
  Nanos length = 20 * kSecond;
  double faults_per_s = 0;  // drawn, beside the steps
  std::vector<Step> steps;
  // For releases: reads beside the keyed requests, of two groups, and a fleet with budgets.
  double reads_per_s = 0;
  double read_ms = 100;  // of a core
  int zones = 2;
  int services = 0;
  double max_unavailable = 0.1;
  double service_max_unavailable = 0.25;
  Nanos restart = 800 * kMs;  // from a server's end to its start in the other version
  Nanos soak = 6 * kSecond;
  int first_nodes = 3;
  std::vector<ReleaseWanted> releases;
};

// Throws settings::DocumentError.
Incident read_incident(const std::string& path);

// One fault, the same for the same draws.
Step drawn(std::mt19937& draws, int instances, int nodes, int proxies);
// Whether it touches instances, their links or their streams: the rest is servers' own.
bool of_control(const Step& step);

}  // namespace myrtlecroft::rehearsal
