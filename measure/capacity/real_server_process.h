// Measures the cost of reporting in a real server: runs `myrtlecroft` processes and reads and counts their
// load reports in place of control. The servers have no engine and no caller, so their CPU time is that of
// their ticks and reports.
#pragma once

#include <string>
#include <vector>

namespace myrtlecroft::capacity {

struct ServerProcessOptions {
  int request_classes = 4;
  int instances = 0;  // control instances that it reports to
};

struct ServerProcessCost {
  double bytes_per_second = 0;  // to all instances
  double reports_per_second = 0;
  double cores = 0;  // CPU seconds per second of the loop's thread
};

// One cost for each process.
using ServerProcessCosts = std::vector<ServerProcessCost>;
// Runs one process for each of the options, all at the same time and with the default report interval, and
// returns the costs of each round. Throws std::runtime_error when a process doesn't report.
std::vector<ServerProcessCosts> measure_server_processes(const std::string& folder,
                                                         const std::vector<ServerProcessOptions>& options,
                                                         int rounds, int round_ms);

}  // namespace myrtlecroft::capacity
