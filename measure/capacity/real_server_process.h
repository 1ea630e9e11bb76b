// What reporting costs a real server: `myrtlecroft` processes with stand-ins for nothing but control, whose
// side of the reports is read here and counted. They have no engine and no caller, so that what they use of a
// processor is their ticks and their reports.
#pragma once

#include <string>
#include <vector>

namespace myrtlecroft::capacity {

struct ServerProcessOptions {
  int request_classes = 4;  // request classes
  int instances = 0;        // of control that it reports to
};

struct ServerProcessCost {
  double bytes_a_second = 0;  // to all instances
  double reports_a_second = 0;
  double cores = 0;  // of its loop's thread
};

// One process for each of the terms, all at once, reporting as often as a server's settings have it by
// themselves: what each costs in each round. Throws std::runtime_error where one of them does not report.
using ServerProcessCosts = std::vector<ServerProcessCost>;
std::vector<ServerProcessCosts> measure_server_processes(const std::string& folder,
                                                         const std::vector<ServerProcessOptions>& options,
                                                         int rounds, int round_ms);

}  // namespace myrtlecroft::capacity
