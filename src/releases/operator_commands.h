// The operators' commands drain, undrain and release: parses their text, checks them against the agreed state
// and adds their steps to a decision. Called by RolloutController on the leader, on the control loop's
// thread. Pure functions; owns nothing.
#pragma once

#include <stdexcept>
#include <string>

#include "agreement.pb.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// Prefix of a rejected command's result, in the agreed state as well.
const std::string kCommandRejectedPrefix = "refused: ";

// Thrown if a command can't be executed. No step of the command has been added to the decision.
class CommandError : public std::runtime_error {
 public:
  explicit CommandError(const std::string& reason) : std::runtime_error(reason) {}
};

// A parsed command.
struct OperatorCommand {
  enum class Kind {
    kDrain,
    kUndrain,
    kReleaseStart,
    kReleaseHalt,
    kReleaseResume,
    kReleaseRollback,
    kReleaseEnd
  };
  Kind kind = Kind::kDrain;
  std::string target;    // kDrain, kUndrain: a server, zone or service
  std::string argument;  // kReleaseStart: the plan as JSON; other release commands: the operator's reason
};

// Parses a command's text. Throws CommandError for an unknown command.
OperatorCommand parse_command(const std::string& text);

// Adds the command's steps to the decision and returns its result, one line for the operator. Throws
// CommandError if the command can't be executed in the present state.
std::string execute(const RolloutContext& context, const OperatorCommand& command, agreement::Decision& out);

}  // namespace myrtlecroft::releases
