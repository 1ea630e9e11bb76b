#include "control/admin_commands.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "control/admin_answer_writer.h"
#include "releases/operator_commands.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kCommandTimeout = 4000 * kMs;  // shorter than a client's
constexpr std::array<std::string_view, 7> kCommands = {
    "drain ", "undrain ", "release start ", "release halt", "release resume", "release back", "release end"};

std::optional<AdminCommandError> error_of(const std::string& message) {
  if (message.empty()) return std::nullopt;
  return AdminCommandError{message};
}

}  // namespace

bool AdminCommands::is_command(std::string_view line) {
  return std::any_of(kCommands.begin(), kCommands.end(),
                     [&](std::string_view command) { return line.starts_with(command); });
}

void AdminCommands::finish(PendingCommand& pending, const std::string& result) {
  if (result.starts_with(releases::kCommandRejectedPrefix)) {
    pending.answer.set_error(result.substr(releases::kCommandRejectedPrefix.size()));
  } else {
    pending.answer.set_done(result);
  }
  write_answer(*pending.connection, pending.answer);
}

void AdminCommands::submit(FrameServer::Id id, net::Connection& connection, const std::string& command,
                           AdminAnswer answer) {
  PendingCommand pending{.connection = &connection,
                         .command = 0,
                         .deadline = loop_.now() + kCommandTimeout,
                         .answer = std::move(answer)};
  agreement::ControlReplica& replica = control_.replica();
  if (!replica.has_quorum()) {
    finish(pending, releases::kCommandRejectedPrefix +
                        "this instance is out of touch with a majority, and nothing is permitted");
    return;
  }
  for (const auto& [other, agreed] : replica.committed_state().instances()) {
    if (agreed.format >= agreement::kMaintenanceFormat) continue;
    finish(pending,
           releases::kCommandRejectedPrefix + "instance " + std::to_string(other) + " knows no releases yet");
    return;
  }
  pending.command = replica.submit_command(command);
  pending_[id] = std::move(pending);
}

void AdminCommands::connection_closed(FrameServer::Id id) {
  auto found = pending_.find(id);
  if (found == pending_.end()) return;
  control_.replica().discard_command(found->second.command);
  pending_.erase(found);
}

void AdminCommands::tick() {
  agreement::ControlReplica& replica = control_.replica();
  for (auto next = pending_.begin(); next != pending_.end();) {
    PendingCommand& pending = next->second;
    const agreement::CommandResult* result = replica.committed_state().maintenance().result(pending.command);
    if (!result && loop_.now() < pending.deadline) {
      ++next;
      continue;
    }
    if (result) {
      finish(pending, result->said());
    } else {
      // It may have reached a leader that will still have it agreed, or never.
      replica.discard_command(pending.command);
      finish(pending, releases::kCommandRejectedPrefix +
                          "not agreed in time; it may still come to be: see 'release status' and 'outings'");
    }
    next = pending_.erase(next);
  }
}

std::optional<AdminCommandError> AdminCommands::change_members(std::string_view line) {
  std::istringstream fields{std::string(line)};
  std::string command;
  std::uint64_t id = 0;
  std::string address;
  fields >> command >> id >> address;
  agreement::ControlReplica& replica = control_.replica();
  if (command == "let-in" && id > 0 && !address.empty()) return error_of(replica.add_member(id, address));
  if (command == "let-out" && id > 0) return error_of(replica.remove_member(id));
  if (command != "hand-on") {
    return AdminCommandError{
        "unknown question; there are nodes, proxies, snapshot, instances, outings and release status"};
  }
  if (!replica.raft_node().is_leader()) return AdminCommandError{"this instance does not lead"};
  control_.transfer_leadership([] {});
  return std::nullopt;
}

}  // namespace myrtlecroft::control
