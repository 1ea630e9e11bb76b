// The servers of a fleet as a control instance sees them: all send equal
// reports, except those that leave or are lost.
#pragma once

#include <set>
#include <vector>

#include "fleet/fleet.h"
#include "routing/router.h"

namespace myrtlecroft::capacity {

class ReportingServers {
 public:
  explicit ReportingServers(const fleet::Fleet& fleet);

  void connect(routing::Router& router, Nanos now);
  // Delivers one report of each server that is up. Throws std::runtime_error when the router rejects one.
  void report(routing::Router& router, Nanos now);

  void start_draining(int server);  // reports that it is draining, from the next report on
  void disconnect_servers(int first_server, int servers, routing::Router& router,
                          Nanos now);  // ends connections and reports
  void reconnect_servers(int first_server, int servers, routing::Router& router, Nanos now);
  std::size_t size() const { return reports_.size(); }

 private:
  std::vector<report::LoadReport> reports_;  // by the server's index in the fleet
  std::set<std::size_t> disconnected_;
};

// Counts the healthy servers of a snapshot.
std::size_t count_healthy_servers(const routing::Snapshot& snapshot);

}  // namespace myrtlecroft::capacity
