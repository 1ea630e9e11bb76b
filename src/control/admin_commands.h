// Operators' commands: drains and releases, which are committed to the replicated log, and changes of the
// cluster's membership. Any replica accepts drain and release commands and answers once the result is
// committed. Owned by AdminServer, called on the loop's thread. Owns the pending commands, not their
// connections.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "control/frame_server.h"
#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Why a command was rejected.
struct AdminCommandError {
  std::string message;  // one line, for the operator
};

// Submits commands to the local replica and answers the connections they came from.
class AdminCommands {
 public:
  // `loop` and `control` must outlive this object.
  AdminCommands(net::Loop& loop, ReplicatedControl& control) : loop_(loop), control_(control) {}

  // True for drain and release commands, false for membership changes and queries.
  static bool is_maintenance_command(std::string_view line);
  // `answer` is the summary that the command's result is added to. A rejected command is answered at once,
  // any other by tick(). `connection` must stay valid until connection_closed(id).
  void submit(FrameServer::Id id, net::Connection& connection, const std::string& command,
              AdminAnswer answer);
  // Discards the pending command of the connection, if any.
  void connection_closed(FrameServer::Id id);
  // Answers the commands whose result is committed or which have timed out. Must be called after each change
  // of the replicated state.
  void tick();

  // Starts a membership change: "let-in 4 127.0.0.1:7404" adds a member, "let-out 2" removes one, "hand-on"
  // transfers leadership. Returns nothing if the change was started, else why it was rejected.
  std::optional<AdminCommandError> start_membership_change(std::string_view line);

 private:
  struct PendingCommand {
    net::Connection* connection = nullptr;
    std::uint64_t command_id = 0;
    Nanos deadline = 0;
    AdminAnswer answer;
  };
  // `result` begins with releases::kCommandRejectedPrefix if the command was rejected.
  static void answer_command(PendingCommand& pending, const std::string& result);

  net::Loop& loop_;
  ReplicatedControl& control_;
  std::map<FrameServer::Id, PendingCommand> pending_;
};

}  // namespace myrtlecroft::control
