// A server's side of what the control instances agree: the shard assignment with the highest epoch that it
// has seen, and which requests it rejects by it.
//
// A proxy with an old snapshot, or an instance that has lost its lease, may send a server a key whose shard
// has another owner by now. The server rejects it as never run: the proxy then asks the owner. Owned by the
// server's main program, called on its loop's thread. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fencing/epoch.h"

namespace myrtlecroft::fencing {

constexpr std::uint8_t kMaxVersion = 99;  // of a program or its settings, as an installation numbers them

// What control sends a server: which shards of the keys it owns, by which decision; and whether it is to exit
// and be started in another version.
struct ShardAssignment {
  Epoch epoch;
  std::uint64_t incarnation = 0;  // of the server that it is meant for
  int shard_digits = 2;           // hexadecimal digits of a key that name its shard
  std::vector<std::uint16_t> shards;
  std::uint64_t report_sequence =
      0;  // sequence of the report that it answers: only an answer to a recent one restarts
  std::optional<std::uint8_t> restart_version;
  bool operator==(const ShardAssignment&) const = default;
};

// The shard of a key; nothing where it does not begin with so many hexadecimal digits.
std::optional<std::uint16_t> shard_of(std::string_view key, int digits);

class FencingGuard {
 public:
  enum class Verdict {
    kAccepted,
    kDuplicate,           // it is in force already
    kStale,               // of an earlier epoch: its sender has missed a decision
    kIncarnationMismatch  // meant for another incarnation of this server
  };
  Verdict accept(const ShardAssignment& assignment, std::uint64_t own_incarnation);
  // One of an earlier incarnation, whose keys this one knows from its store.
  void restore(const ShardAssignment& assignment) {
    assignment_.reset();
    accept(assignment, assignment.incarnation);
  }

  // Whether this server owns the key's shard. Without an assignment it owns none: nobody knows what ran here.
  bool admits(std::string_view key) const;
  // The one in force.
  const std::optional<ShardAssignment>& assignment() const { return assignment_; }

 private:
  std::optional<ShardAssignment> assignment_;
  std::vector<bool> own_;  // by shard
};

}  // namespace myrtlecroft::fencing
