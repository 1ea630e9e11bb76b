// The servers of a fleet as an instance hears them: all report alike, but for those that leave or are lost.
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
  // One report of each that is up. Throws std::runtime_error where one is not taken.
  void report(routing::Router& router, Nanos now);

  void leave(int server);  // by its own word, from the next report on
  void lose(int first_server, int servers, routing::Router& router, Nanos now);  // links and reports
  void bring_back(int first_server, int servers, routing::Router& router, Nanos now);
  std::size_t size() const { return reports_.size(); }

 private:
  std::vector<report::LoadReport> reports_;  // by the server's place in the fleet
  std::set<std::size_t> lost_;
};

std::size_t servers_in_service(const routing::Snapshot& snapshot);

}  // namespace myrtlecroft::capacity
