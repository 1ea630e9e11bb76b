// Passes on what proxies have applied and counted: to the router, and where several replicas agree to the
// replica. Owned by Control; used on the loop's thread.
#pragma once

#include <cstdint>
#include <optional>

#include "agreement/control_replica.h"
#include "control/discovery_service.h"
#include "control/load_reporting_service.h"
#include "routing/router.h"

namespace myrtlecroft::control {

class ProxyMonitor {
 public:
  // `replica` is nullptr where this control service decides alone. All outlive this.
  ProxyMonitor(DiscoveryService& discovery, LoadReportingService& load_reporting, routing::Router& router,
               agreement::ControlReplica* replica)
      : discovery_(discovery), load_reporting_(load_reporting), router_(router), replica_(replica) {}

  // To be called several times a second.
  void step(Nanos now);
  // The publication that every proxy which may still route had applied at the last step().
  std::uint64_t applied_by_all() const { return applied_by_all_; }

 private:
  void pass_load(Nanos now);
  void pass_applied();

  DiscoveryService& discovery_;
  LoadReportingService& load_reporting_;
  routing::Router& router_;
  agreement::ControlReplica* replica_;
  std::optional<std::uint64_t>
      seen_changes_;  // of the discovery service, when all proxies were last passed on
  std::uint64_t applied_by_all_ = 0;
};

}  // namespace myrtlecroft::control
