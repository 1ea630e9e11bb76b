// The operators' commands: drain, undrain and release. Reads their text, checks them against the agreed state
// and adds their steps to a decision. Called by RolloutController for a decision of the leader, on the
// control loop's thread. Pure functions; owns nothing.
#pragma once

#include <stdexcept>
#include <string>

#include "agreement.pb.h"
#include "releases/rollout_context.h"

namespace myrtlecroft::releases {

// The result of a rejected command begins with this, in the agreed state too.
const std::string kCommandRejectedPrefix = "refused: ";

// Thrown where a command can't be carried out; nothing of it has been added to the decision then.
class CommandError : public std::runtime_error {
 public:
  explicit CommandError(const std::string& reason) : std::runtime_error(reason) {}
};

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
  std::string target;    // of a drain or undrain: a server, zone or service
  std::string argument;  // of a start: the plan as JSON; of another release command: the operator's reason
};

// Throws CommandError.
OperatorCommand parse_command(const std::string& text);

// Adds the command's steps to the decision and returns its result, one line for the operator. Throws
// CommandError.
std::string execute(const RolloutContext& context, const OperatorCommand& command, agreement::Decision& out);

}  // namespace myrtlecroft::releases
