// The faults of a rehearsal with real processes and their times, read from a file (docs/rehearse.md) or drawn
// from a seed. Used by the rig and the measurements. No I/O beyond reading the file.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::rehearsal {

enum class Fault {
  kKill,        // the process is killed; it starts again afterwards with its folder
  kPause,       // the process gets no CPU time
  kStall,       // bytes are delayed until the fault ends
  kClose,       // no connection is accepted; open ones are reset
  kLate,        // each byte is delayed by Step::by
  kReset,       // open connections are reset, once
  kCutFrame,    // reset after Step::bytes more outward bytes, once
  kLose,        // killed, and its folder removed
  kDiskFails,   // every sync fails
  kDiskFull,    // every write fails
  kDiskSlow,    // each sync takes Step::by
  kClock,       // the wall clock is off by Step::by
  kKillAtSync,  // killed when it begins its Step::count-th sync from now; it starts again afterwards
  kNoise,       // a server's engine takes Step::times its usual time
  kCommand      // an operator sends Step::command to an instance
};
// Direction of the bytes, as seen from the step's target.
enum class Direction { kOutward, kInward, kBoth };

// The processes that a step's fault hits: the leader, or a range of instances, servers or proxy streams.
struct Target {
  enum class Kind { kLeader, kInstance, kServer, kProxy };
  Kind kind = Kind::kLeader;
  int first = 0;
  int last = 0;  // inclusive
};

struct Step {
  Nanos at = 0;
  Nanos length = 0;
  Fault fault = Fault::kKill;
  Target target;
  // For faults of links: the instances at the other end, as a bit mask.
  unsigned others = ~0u;
  Direction direction = Direction::kBoth;
  Nanos by = 0;           // late, disk slow, clock
  std::size_t bytes = 0;  // cut frame
  int count = 0;          // kill at sync
  double times = 1;       // noise
  std::string command;    // command
};
// Describes the step in one line, for the timeline.
std::string describe(const Step& step);
// Whether the fault hits a link between two processes instead of a process.
bool is_link_fault(Fault fault);

// The defect that a version of the server's program is given.
enum class Defect { kNone, kSlow, kSlowUnderLoad, kSlowAfterDelay, kSlowRequestClass, kLost };
constexpr std::size_t kDefects = 6;
const char* name_of(Defect defect);

// A release that starts at its time, or when the previous one is over if that is later.
struct PlannedRelease {
  Nanos at = 0;
  int version = 2;
  Defect defect = Defect::kNone;
  int instance = 0;  // the instance that receives the operators' commands
};

struct Incident {
  int instances = 3;
  int nodes = 3;
  int proxies = 2;
  double keys_per_s = 100;
  Nanos length = 20 * kSecond;
  double faults_per_s = 0;  // drawn faults, in addition to the steps
  std::vector<Step> steps;
  // For releases: reads of two request classes in addition to the keyed requests, and disruption budgets.
  double reads_per_s = 0;
  double read_ms = 100;  // core time of each read
  int zones = 2;
  int services = 0;
  double max_unavailable = 0.1;
  double service_max_unavailable = 0.25;
  Nanos restart = 800 * kMs;  // from a server's exit to its start in the other version
  Nanos soak = 6 * kSecond;
  int first_nodes = 3;
  std::vector<PlannedRelease> releases;
};

// Throws settings::DocumentError if the file can't be read or a field is invalid.
Incident read_incident(const std::string& path);

struct ProcessCounts {
  int instances = 0;
  int servers = 0;
  int proxies = 0;
};
// Draws one fault; deterministic for a given generator state.
Step draw_fault(std::mt19937& draws, const ProcessCounts& counts);
// Whether the step hits instances, their links or proxies' streams, and not servers alone.
bool concerns_control(const Step& step);

}  // namespace myrtlecroft::rehearsal
