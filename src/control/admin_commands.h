// Operators' commands that are agreed on (drains, releases), and changes of the cluster's members. A command
// may be given to any replica; it is answered once its result is agreed. Owned by AdminServer, called on the
// loop's thread; owns the commands whose connections wait for an answer, but not the connections.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "control/frame_server.h"
#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Why a command has no effect, one line for the operator.
struct AdminCommandError {
  std::string message;
};

class AdminCommands {
 public:
  // Both outlive this.
  AdminCommands(net::Loop& loop, ReplicatedControl& control) : loop_(loop), control_(control) {}

  // Of drains and releases; changes of members are not among them.
  static bool is_command(std::string_view line);
  // `answer` is the summary that every answer begins with. The connection is answered now or by tick().
  void submit(FrameServer::Id id, net::Connection& connection, const std::string& command,
              AdminAnswer answer);
  void connection_closed(FrameServer::Id id);
  // Answers the commands whose result is agreed, and those whose time is over. To be called after each change
  // of the agreed state.
  void tick();

  // Begins "let-in 4 127.0.0.1:7404", "let-out 2" or "hand-on" (leadership goes to another replica). Nothing
  // where it is under way.
  std::optional<AdminCommandError> change_members(std::string_view line);

 private:
  struct PendingCommand {
    net::Connection* connection = nullptr;
    std::uint64_t command = 0;  // its id
    Nanos deadline = 0;
    AdminAnswer answer;
  };
  static void finish(PendingCommand& pending, const std::string& result);

  net::Loop& loop_;
  ReplicatedControl& control_;
  std::map<FrameServer::Id, PendingCommand> pending_;
};

}  // namespace myrtlecroft::control
