// One real control instance on loopback with hollow servers and callers, and the
// changes that a measurement makes to them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "capacity/real_fleet.h"
#include "capacity/real_load.h"
#include "control_fleet.h"

namespace myrtlecroft::capacity {

struct RigOptions {
  std::string hollow_program;
  std::string folder;
  FleetPlan plan;
  int report_every_ms = 250;  // the default of a server's settings
  int reported_classes = 4;
  int servers_per_process = 1600;
  int callers_per_process = 1000;
};

enum class ChangeKind {
  kLeave,   // the servers report that they are draining
  kReturn,  // the servers report that they are no longer draining
  kLose,    // the servers' connections are reset and they stop reporting
  kRegain   // the servers connect and report again
};

struct ChangeResult {
  std::vector<double> in_force_ms;  // one value for each touched caller that applied the change
  std::uint32_t touched = 0;
  std::uint32_t missed = 0;  // touched callers that didn't apply the change within the limit
  double bytes = 0;          // sent to all callers
  double control_cpu_ms = 0;
  double callers_cpu_ms = 0;
};

struct ReconnectResult {
  double seconds = 0;  // until all callers had their sets again, or until the limit
  std::uint32_t missing = 0;
  double control_cpu_s = 0;
  long peak_kb = 0;  // control's resident memory after the reconnect
  double bytes = 0;
};

struct ReportCost {
  double control_cores = 0;  // CPU seconds per second
  double servers_cores = 0;
  double bytes_per_server = 0;  // per second
  double reports_per_second = 0;
};

// Cost of an admin query.
struct QueryCost {
  double ms = 0;
  std::size_t bytes = 0;
  unsigned rows = 0;
  unsigned rows_left_out = 0;
  std::string error;  // empty after a complete answer
};

// Not thread-safe. Members that use the hollow processes throw
// std::runtime_error when one of them has exited.
class RealRig {
 public:
  explicit RealRig(RigOptions options);
  ~RealRig();

  // Returns false when some servers didn't connect and report in time.
  bool start_servers();
  // Adds callers up to `callers` in total and waits until each has applied a set. Returns the number of
  // callers without a set at the time limit.
  std::uint32_t grow_callers(int callers);
  ReportCost measure_reports(int duration_ms);
  ChangeResult change(ChangeKind kind, const std::vector<std::uint32_t>& servers);
  ReconnectResult reconnect_all();

  // Returns the state of all callers; `complete` adds the figures that take longer to collect.
  hollow::Answer read_callers(bool complete);
  // Servers whose changes touch at least one caller. Throws std::runtime_error when no caller has a server.
  std::vector<std::uint32_t> servers_of_a_caller();
  // Counts the key shards with more than one owner in the callers' sets; -1 when the sets name no owner.
  int count_doubled_shards();
  // Control's resident memory in kB, after a pause in which it returns freed memory to the system.
  long trimmed_memory_kb();
  QueryCost run_query(const std::string& query);
  const FleetPlan& plan() const { return options_.plan; }
  long callers_resident_kb() const { return callers_.resident_kb(); }
  int callers() const { return callers_started_; }
  standin::ChildProcess& control() { return control_[0].process; }

 private:
  void start_caller_processes();
  void wait_until_quiet();
  void start_change(ChangeKind kind, const std::vector<std::uint32_t>& servers, hollow::Answer& started);

  RigOptions options_;
  standin::PortReservations ports_;
  standin::ControlCluster control_;
  HollowProcesses servers_;
  HollowProcesses callers_;
  int callers_started_ = 0;
};

}  // namespace myrtlecroft::capacity
