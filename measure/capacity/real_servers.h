// Hollow servers: each reports by frames as net::Reporter does, on a connection of its own, evenly spread
// over the time between two reports, and does nothing else. tests/control_harness.h's Reporters send all at
// once and never reset a connection, so a thousand of them are one burst and not a thousand servers.
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
  sockaddr_in reports{};  // of control
  int first = 1;
  int count = 0;
  Nanos every = 250 * kMs;
  int request_classes = 4;  // that each reports of
};

// A report as a server with so many request classes sends it.
report::LoadReport report_of(int server, int request_classes);

class HollowServers {
 public:
  HollowServers(net::Loop& loop, const HollowServersOptions& options);
  ~HollowServers();

  void say(const hollow::Command::Say& command);
  void reach(const hollow::Command::Reach& command);
  void fill(hollow::Answer& answer) const;

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
