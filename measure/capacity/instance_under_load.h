// Routing decisions of one control instance with every server of its fleet reporting, in one process and on a
// simulated clock that the measurement advances.
#pragma once

#include <memory>

#include "reporting_servers.h"
#include "routing/router.h"

namespace myrtlecroft::capacity {

class InstanceUnderLoad {
 public:
  // Returns once all servers are in service and the first snapshot is published; throws std::runtime_error
  // when they don't come into service.
  explicit InstanceUnderLoad(fleet::Fleet fleet);

  // Delivers the reports of all servers that are up, then makes one decision; callers apply a publication at
  // once. Returns the CPU time of the decision in ms.
  double measure_step_ms();
  void settle();  // makes a few steps, so that the effects of a change are over

  void start_draining(int server) { servers_.start_draining(server); }
  void disconnect_servers(int first_server, int servers) {
    servers_.disconnect_servers(first_server, servers, router_, now_);
  }
  void reconnect_servers(int first_server, int servers) {
    servers_.reconnect_servers(first_server, servers, router_, now_);
  }

  const std::shared_ptr<const routing::PublishedSnapshot>& published() const { return router_.published(); }
  Nanos now() const { return now_; }
  std::size_t healthy_servers() const {
    return published() ? count_healthy_servers(published()->snapshot) : 0;
  }

 private:
  Nanos now_ = 1000 * kSecond;
  routing::Router router_;
  ReportingServers servers_;
};

}  // namespace myrtlecroft::capacity
