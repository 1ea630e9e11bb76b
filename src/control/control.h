// The control service: receives servers' reports, decides alone or with other replicas, and serves proxies
// over xDS. Made by the program and by tests. One loop thread decides and receives the reports; gRPC's own
// threads speak with proxies; they meet in DiscoveryService and LoadReportingService, which lock.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/admin_server.h"
#include "control/discovery_server.h"
#include "control/discovery_service.h"
#include "control/durable_publication.h"
#include "control/load_reporting_service.h"
#include "control/proxy_monitor.h"
#include "control/publisher.h"
#include "control/replicated_control.h"
#include "control/report_receiver.h"
#include "net/log.h"
#include "routing/router.h"

namespace myrtlecroft::control {

struct ListenAddresses {
  std::string discovery;  // for proxies, "127.0.0.1:18000"
  sockaddr_in reports{};  // for servers
  sockaddr_in admin{};
};

struct ControlOptions {
  std::string fleet_path;
  std::string state_folder;  // empty: no state is saved
  bool first_start = false;  // no proxy was ever served for this fleet
  ListenAddresses addresses;
  AgreementOptions agreement;
};

class ControlService {
 public:
  // Throws settings::DocumentError for the fleet file, ListenError, StateFolderError, LogFolderError, and
  // std::runtime_error for other faults of a folder.
  ControlService(net::Loop& loop, service::Logger& log, ControlOptions options);

  // Reads the fleet file again. An invalid one is logged and changes nothing.
  void reload();

  std::uint16_t discovery_port() const { return discovery_server_->port(); }
  std::uint16_t reports_port() const { return reports_.port(); }
  std::uint16_t admin_port() const { return admin_.port(); }
  const routing::Router& router() const { return router_; }
  // Before a shutdown: leadership goes to another replica, where there is one. `done` is called in any case.
  void transfer_leadership(std::function<void()> done);

 private:
  std::unique_ptr<routing::Router> make_router();
  std::unique_ptr<ReplicatedControl> make_replica();
  agreement::ControlReplica* replica() { return replicated_ ? &replicated_->replica() : nullptr; }
  ControlStatus status() const;
  void step();
  void decide_alone();
  void serve_agreed();
  void request_decision();

  net::Loop& loop_;
  service::Logger& log_;
  ControlOptions options_;
  DiscoveryService discovery_;
  LoadReportingService load_reporting_;
  Publisher publisher_;
  DurablePublication durable_publication_;  // of no use where several replicas agree
  // One of these two is there: this control service decides alone, or is one of several replicas.
  std::unique_ptr<routing::Router> own_router_;
  std::unique_ptr<ReplicatedControl> replicated_;
  routing::Router& router_;
  ReportReceiver reports_;
  ProxyMonitor proxies_;
  AdminServer admin_;
  net::Timer step_timer_;
  Nanos trimmed_at_ = 0;
  std::unique_ptr<DiscoveryServer> discovery_server_;
};

}  // namespace myrtlecroft::control
