// Forwards to the router which publication the proxies have applied and the requests they counted; when the
// control service is replicated, forwards the proxies' status to the replica. Owned by ControlService, used
// on the loop's thread.
#pragma once

#include <cstdint>
#include <optional>

#include "agreement/control_replica.h"
#include "control/discovery_service.h"
#include "control/load_reporting_service.h"
#include "routing/router.h"

namespace myrtlecroft::control {

// Polls the discovery and load reporting services.
class ProxyMonitor {
 public:
  // `replica` is nullptr for a standalone control service. All arguments must outlive this object.
  ProxyMonitor(DiscoveryService& discovery, LoadReportingService& load_reporting, routing::Router& router,
               agreement::ControlReplica* replica)
      : discovery_(discovery), load_reporting_(load_reporting), router_(router), replica_(replica) {}

  // Must be called several times a second.
  void step(Nanos now);
  // The newest publication that, at the last step(), every proxy that may still route had applied.
  std::uint64_t applied_by_all() const { return applied_by_all_; }

 private:
  void forward_load(Nanos now);
  void forward_applied_publication();

  DiscoveryService& discovery_;
  LoadReportingService& load_reporting_;
  routing::Router& router_;
  agreement::ControlReplica* replica_;
  // DiscoveryService::changes() when the proxies' status was last forwarded.
  std::optional<std::uint64_t> last_seen_changes_;
  std::uint64_t applied_by_all_ = 0;
};

}  // namespace myrtlecroft::control
