// The deciding part of one instance with every server of its fleet reporting, in one process and by a clock
// that only the measurement moves.
#pragma once

#include <memory>

#include "reporting_servers.h"
#include "routing/router.h"

namespace myrtlecroft::capacity {

class InstanceUnderLoad {
 public:
  // All servers are in service, and the first snapshot is published, when it returns.
  explicit InstanceUnderLoad(fleet::Fleet fleet);

  // Reports of all servers that are up, then a decision; callers apply what is published at once. The time
  // of the processor that the decision took.
  double step_ms();
  void settle();  // some steps, so that what a change set off is over

  void leave(int server) { servers_.leave(server); }
  void lose(int first_server, int servers) { servers_.lose(first_server, servers, router_, now_); }
  void bring_back(int first_server, int servers) {
    servers_.bring_back(first_server, servers, router_, now_);
  }

  const std::shared_ptr<const routing::PublishedSnapshot>& published() const { return router_.published(); }
  Nanos now() const { return now_; }
  std::size_t in_service() const { return published() ? servers_in_service(published()->snapshot) : 0; }

 private:
  Nanos now_ = 1000 * kSecond;
  routing::Router router_;
  ReportingServers servers_;
};

}  // namespace myrtlecroft::capacity
