// The admin address: reads one line a connection, passes it to the queries or the commands, and writes the
// answer. Owned by Control; used on the loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/admin_commands.h"
#include "control/admin_queries.h"
#include "control/frame_server.h"

namespace myrtlecroft::control {

class AdminServer {
 public:
  struct Sources {
    const routing::Router& router;
    DiscoveryService& discovery;
    ReplicatedControl* replicated = nullptr;  // nullptr where this control service decides alone
    std::function<ControlStatus()> status;
  };
  // What the sources name outlives this. Throws ListenError.
  AdminServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address, Sources sources);

  std::uint16_t port() const { return server_.port(); }
  // Answers commands whose result is agreed. To be called after each change of the agreed state.
  void tick();

 private:
  std::size_t received(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  AdminAnswer answer(const std::string& line);

  std::function<ControlStatus()> status_;
  AdminQueries queries_;
  std::unique_ptr<AdminCommands> commands_;  // nullptr where this control service decides alone
  FrameServer server_;
};

}  // namespace myrtlecroft::control
