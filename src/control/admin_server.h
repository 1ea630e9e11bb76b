// The server of the admin interface: reads one line per connection, passes it to the queries or the commands
// and writes the answer. Owned by ControlService, used on the loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/admin_commands.h"
#include "control/admin_queries.h"
#include "control/frame_server.h"

namespace myrtlecroft::control {

// Accepts operators' connections (16 at most) and owns the handlers of queries and commands.
class AdminServer {
 public:
  // The components whose state is reported.
  struct Sources {
    const routing::Router& router;
    DiscoveryService& discovery;
    ReplicatedControl* replicated = nullptr;  // nullptr for a standalone control service
    std::function<ControlStatus()> status;
  };
  // The objects in `sources` must outlive this one. Throws ListenError.
  AdminServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address, Sources sources);

  std::uint16_t port() const { return server_.port(); }
  // Answers commands whose result is committed. Must be called after each change of the replicated state.
  void tick();

 private:
  std::size_t received(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  AdminAnswer answer(const std::string& line);

  std::function<ControlStatus()> status_;
  AdminQueries queries_;
  std::unique_ptr<AdminCommands> commands_;  // nullptr for a standalone control service
  FrameServer server_;
};

}  // namespace myrtlecroft::control
