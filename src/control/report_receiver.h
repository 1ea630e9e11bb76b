// Receives servers' load reports and answers them with shard assignments. Owned by Control; used on the
// loop's thread. Owns the listener and what is known of each connection.
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

class ReportReceiver {
 public:
  struct Targets {
    routing::Router& router;
    // Gives servers their shard assignments; nullptr where this control service decides alone.
    agreement::ControlReplica* replica = nullptr;
    // A server reported another mode, or that it drains: the next decision should not wait for its interval.
    std::function<void()> mode_changed;
  };
  // What the targets name outlives this. Throws ListenError.
  ReportReceiver(net::Loop& loop, service::Logger& log, const sockaddr_in& address, Targets targets);

  std::uint16_t port() const { return server_.port(); }

 private:
  std::size_t received(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  void handle(FrameServer::Id id, net::Connection& connection, const report::LoadReport& report);
  void accepted(FrameServer::Id id, const report::LoadReport& report);
  void rejected(const report::LoadReport& report, const std::string& reason);
  void closed(FrameServer::Id id);
  void send_assignment(net::Connection& connection, const report::LoadReport& report);
  std::size_t max_reporters() const;

  net::Loop& loop_;
  service::Logger& log_;
  Targets targets_;
  ReporterLinks links_;
  std::map<std::string, std::string> modes_;              // by server, as reported last
  std::map<std::string, std::string> rejection_reasons_;  // by server, as logged last
  FrameServer server_;
};

}  // namespace myrtlecroft::control
