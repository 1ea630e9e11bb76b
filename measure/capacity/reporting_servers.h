// The servers of a fleet as a control instance sees them: all send equal reports, except those that leave or are
// lost.
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

  void leave(int server);  // reports that it is draining, from the next report on
  void lose(int first_server, int servers, routing::Router& router, Nanos now);  // ends connections and reports
  void bring_back(int first_server, int servers, routing::Router& router, Nanos now);
  std::size_t size() const { return reports_.size(); }

 private:
  std::vector<report::LoadReport> reports_;  // by the server's index in the fleet
  std::set<std::size_t> lost_;
};

// Counts the healthy servers of a snapshot.
std::size_t servers_in_service(const routing::Snapshot& snapshot);

}  // namespace myrtlecroft::capacity
