// Hollow servers: each sends report frames as net::Reporter does, on its own connection, and does nothing
// else. Their reports are spread evenly over the report interval. The Reporters of tests/control_harness.h
// all send at once and never reset a connection, so a thousand of them load control with a single burst,
// which a thousand servers don't.
#pragma once

#include <map>
#include <memory>

#include "capacity/real_fleet.h"
#include "hollow.pb.h"
#include "net/connection.h"
#include "no_log.h"
#include "report/load_report.h"

namespace myrtlecroft::capacity {

struct HollowServersOptions {
  sockaddr_in control_address{};  // control's address for reports
  int first = 1;
  int count = 0;
  Nanos report_interval = 250 * kMs;
  int request_classes = 4;  // in each report
};

// Returns a report as a server with that many request classes sends it.
report::LoadReport make_report(int server, int request_classes);

// For the loop's thread only.
class HollowServers {
 public:
  HollowServers(net::Loop& loop, const HollowServersOptions& options);
  ~HollowServers();

  // Sets whether the servers report that they are draining, and sends their reports at once.
  void set_draining(const hollow::Command::Say& command);
  // Connects the servers, or resets their connections and stops their reports.
  void set_reachable(const hollow::Command::Reach& command);
  void fill_answer(hollow::Answer& answer) const;

 private:
  class Server;
  net::Loop& loop_;
  HollowServersOptions options_;
  standin::NullLogger log_;
  std::uint64_t reports_sent_ = 0;
  std::uint64_t report_bytes_ = 0;
  std::map<std::uint32_t, std::unique_ptr<Server>> servers_;
};

}  // namespace myrtlecroft::capacity
