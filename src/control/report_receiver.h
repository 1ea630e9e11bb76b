// Receives servers' load reports and answers them with shard assignments. Owned by ControlService, used on
// the loop's thread. Owns the listener and the state of each connection.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "agreement/control_replica.h"
#include "control/frame_server.h"
#include "control/reporter_links.h"
#include "report/load_report.h"
#include "routing/router.h"

namespace myrtlecroft::control {

// Passes reports to the router. Each rejected server is logged once per reason.
class ReportReceiver {
 public:
  struct Targets {
    routing::Router& router;
    // The source of shard assignments. nullptr for a standalone control service, which sends none.
    agreement::ControlReplica* replica = nullptr;
    // Called when a server reports another mode or that it drains. The next decision should not wait for its
    // interval.
    std::function<void()> mode_changed;
  };
  // The objects in `targets` must outlive this one. Throws ListenError.
  ReportReceiver(net::Loop& loop, service::Logger& log, const sockaddr_in& address, Targets targets);

  std::uint16_t port() const { return server_.port(); }

 private:
  std::size_t received(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  void handle(FrameServer::Id id, net::Connection& connection, const report::LoadReport& report);
  void handle_accepted(FrameServer::Id id, const report::LoadReport& report);
  void log_rejection(const report::LoadReport& report, const std::string& reason);
  void closed(FrameServer::Id id);
  void send_assignment(net::Connection& connection, const report::LoadReport& report);
  std::size_t max_reporter_connections() const;

  net::Loop& loop_;
  service::Logger& log_;
  Targets targets_;
  ReporterLinks links_;
  std::map<std::string, std::string> last_modes_;              // by server, as last reported
  std::map<std::string, std::string> last_rejection_reasons_;  // by server, as last logged
  FrameServer server_;
};

}  // namespace myrtlecroft::control
