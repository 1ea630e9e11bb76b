// Fencing on the server's side: keeps the shard assignment with the highest epoch and rejects requests whose
// key belongs to a shard that the server does not own.
//
// A proxy with an old snapshot, or a control replica that has lost its lease, may send a server a key whose
// shard has since moved to another owner. The server rejects the request as never run, and the proxy retries
// it at the owner. Owned by the server's main program, called on its loop's thread. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fencing/epoch.h"

namespace myrtlecroft::fencing {

// Highest version number of a program or its settings; an installation assigns the numbers.
constexpr std::uint8_t kMaxVersion = 99;

// Sent by the control service to a server: the shards that the server owns, the decision that assigned them,
// and, for a release, the version in which the server is to restart.
struct ShardAssignment {
  Epoch epoch;
  std::uint64_t incarnation = 0;  // of the server that the assignment is meant for
  int shard_digits = 2;           // leading hexadecimal digits of a key that select its shard
  std::vector<std::uint16_t> shards;
  // Of the load report that the assignment answers: a server restarts only on an answer to a recent report.
  std::uint64_t report_sequence = 0;
  std::optional<std::uint8_t> restart_version;  // if set, the server exits and is started in this version
  bool operator==(const ShardAssignment&) const = default;
};

// Returns the shard of a key, or std::nullopt if the key does not begin with `digits` hexadecimal digits.
std::optional<std::uint16_t> shard_of(std::string_view key, int digits);

// Holds the shard assignment in force and decides which keys the server may run.
class FencingGuard {
 public:
  enum class Verdict {
    kAccepted,
    kDuplicate,           // the assignment is already in force
    kStale,               // from an earlier epoch: the sender has missed a decision
    kIncarnationMismatch  // meant for another incarnation of this server
  };
  // Puts the assignment in force if it is newer than the current one and meant for `own_incarnation`.
  Verdict accept(const ShardAssignment& assignment, std::uint64_t own_incarnation);
  // Puts an assignment of an earlier incarnation in force: this incarnation knows its keys from the store.
  void restore(const ShardAssignment& assignment) {
    assignment_.reset();
    accept(assignment, assignment.incarnation);
  }

  // Whether this server owns the key's shard. Without an assignment it owns no shard, because the control
  // service does not know which keys have run at it.
  bool admits(std::string_view key) const;
  // The assignment in force, if any.
  const std::optional<ShardAssignment>& assignment() const { return assignment_; }

 private:
  std::optional<ShardAssignment> assignment_;
  std::vector<bool> owned_shards_;  // indexed by shard
};

}  // namespace myrtlecroft::fencing
