// One real control instance on loopback with hollow servers and callers round it, and the changes that are
// made to them.
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
  int report_every_ms = 250;  // as a server's settings have it by themselves
  int reported_classes = 4;
  int servers_of_process = 1600;
  int callers_of_process = 1000;
};

enum class ChangeKind {
  kLeave,   // by the servers' own word
  kReturn,  // the same, taken back
  kLose,    // their connections are reset and they are silent
  kRegain   // they connect and report again
};

struct ChangeResult {
  std::vector<double> in_force_ms;  // of each touched caller
  std::uint32_t touched = 0;
  std::uint32_t missed = 0;  // touched, and not in force there within the limit
  double bytes = 0;          // to all callers
  double control_cpu_ms = 0;
  double callers_cpu_ms = 0;
};

struct ReconnectResult {
  double seconds = 0;  // until all callers had their set again, or the limit
  std::uint32_t missing = 0;
  double control_cpu_s = 0;
  long peak_kb = 0;  // of control
  double bytes = 0;
};

struct ReportCost {
  double control_cores = 0;  // CPU seconds a second
  double servers_cores = 0;
  double bytes_a_server = 0;  // a second
  double reports_a_second = 0;
};

// Of an operators' question.
struct CommandCost {
  double ms = 0;
  std::size_t bytes = 0;
  unsigned rows = 0;
  unsigned rows_left_out = 0;
  std::string fault;  // empty where there was a whole answer
};

class RealRig {
 public:
  explicit RealRig(RigOptions options);
  ~RealRig();

  // False where they were not all heard of in time.
  bool start_servers();
  // Until there are so many in all, each with its set; says how many have none when the time is over.
  std::uint32_t grow_callers(int callers);
  ReportCost measure_reports(int for_ms);
  ChangeResult change(ChangeKind kind, const std::vector<std::uint32_t>& servers);
  ReconnectResult reconnect_all();

  hollow::Answer look(bool whole);
  // Changes of these touch somebody. Throws std::runtime_error where no caller has any.
  std::vector<std::uint32_t> servers_of_a_caller();
  // Key shards that the callers' sets name two owners for; -1 where they name no owner at all.
  int doubled_owners();
  // Control's memory once what a crowd left behind was given back.
  long rested_kb();
  CommandCost ask(const std::string& question);
  const FleetPlan& plan() const { return options_.plan; }
  long callers_kb() const { return callers_.resident_kb(); }
  int callers() const { return callers_started_; }
  standin::ChildProcess& control() { return control_[0].process; }

 private:
  void start_caller_processes();
  void await_quiet();
  void begin(ChangeKind kind, const std::vector<std::uint32_t>& servers, hollow::Answer& begun);

  RigOptions options_;
  std::set<int> ports_;
  standin::ControlCluster control_;
  HollowProcesses servers_;
  HollowProcesses callers_;
  int callers_started_ = 0;
};

}  // namespace myrtlecroft::capacity
