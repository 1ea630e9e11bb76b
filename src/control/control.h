// The control service: receives servers' load reports, makes routing decisions, alone (standalone) or
// together with other replicas, and serves proxies over xDS. Created by the program and by tests. The loop's
// thread decides and receives the reports; gRPC's threads serve the proxies. The two share DiscoveryService
// and LoadReportingService, which lock a mutex.
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

// The addresses a control service listens on.
struct ListenAddresses {
  std::string discovery;  // for proxies, in gRPC's notation: "127.0.0.1:18000"
  sockaddr_in reports{};  // for servers' load reports
  sockaddr_in admin{};    // for operators
};

struct ControlOptions {
  std::string fleet_path;
  std::string state_folder;  // of a standalone control service; empty: no state is saved
  bool first_start = false;  // no proxy was ever served for this fleet
  ListenAddresses addresses;
  AgreementOptions agreement;
};

// One control service process. All methods run on the loop's thread.
class ControlService {
 public:
  // Throws settings::DocumentError for an invalid fleet file, ListenError, StateFolderError, LogFolderError,
  // and std::runtime_error for other faults of a folder.
  ControlService(net::Loop& loop, service::Logger& log, ControlOptions options);

  // Reads the fleet file again. An invalid file is logged and the previous one stays in use.
  void reload();

  std::uint16_t discovery_port() const { return discovery_server_->port(); }
  std::uint16_t reports_port() const { return report_receiver_.port(); }
  std::uint16_t admin_port() const { return admin_server_.port(); }
  const routing::Router& router() const { return router_; }
  // Called before a shutdown. A leader transfers leadership to another replica, if there is one. `done` is
  // called in every case, possibly before the return.
  void transfer_leadership(std::function<void()> done);

 private:
  std::unique_ptr<routing::Router> make_router();
  std::unique_ptr<ReplicatedControl> make_replica();
  agreement::ControlReplica* replica() { return replicated_ ? &replicated_->replica() : nullptr; }
  ControlStatus status() const;
  // Runs every 100 ms and when a decision is requested.
  void step();
  void step_standalone();
  void serve_agreed_state();
  void request_decision();

  net::Loop& loop_;
  service::Logger& log_;
  ControlOptions options_;
  DiscoveryService discovery_;
  LoadReportingService load_reporting_;
  Publisher publisher_;
  DurablePublication durable_publication_;  // used only when standalone
  // Exactly one of these two is set: the router of a standalone control service, or the replica.
  std::unique_ptr<routing::Router> standalone_router_;
  std::unique_ptr<ReplicatedControl> replicated_;
  routing::Router& router_;
  ReportReceiver report_receiver_;
  ProxyMonitor proxy_monitor_;
  AdminServer admin_server_;
  net::Timer step_timer_;
  Nanos last_trim_at_ = 0;
  std::unique_ptr<DiscoveryServer> discovery_server_;
};

}  // namespace myrtlecroft::control
