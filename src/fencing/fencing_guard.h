// A server's side of what is agreed: the order with the highest epoch that it has seen, and what it rejects
// by it. No I/O.
//
// A proxy with an old set, or an instance that has been left behind, may send a server a key whose shard is
// another server's by now. The server turns it away as never run: the one that has the shard is asked
// instead.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fencing/epoch.h"

namespace myrtlecroft::fencing {

constexpr std::uint8_t kMaxVersion = 99;  // of a program or its settings, as an installation numbers them

// What a server is told: which shards of the keys are its own, by which decision; and whether it is to end
// and be started in another version.
struct ShardAssignment {
  Epoch epoch;
  std::uint64_t incarnation = 0;  // of the server that it is meant for
  int shard_digits = 2;
  std::vector<std::uint16_t> shards;
  std::uint64_t answers = 0;  // the report that it answers: what is older than a moment restarts nobody
  std::optional<std::uint8_t> restart_as;
  bool operator==(const ShardAssignment&) const = default;
};

// The shard of a key; none where it does not begin with so many hexadecimal digits.
std::optional<std::uint16_t> shard_of(std::string_view key, int digits);

class FencingGuard {
 public:
  enum class Verdict {
    kAccepted,
    kDuplicate,        // the one that is in force
    kStale,            // of an earlier epoch: whoever sent it has been left behind
    kOtherIncarnation  // meant for an earlier incarnation of this server, or a later one
  };
  Verdict accept(const ShardAssignment& assignment, std::uint64_t own_incarnation);
  // From an earlier incarnation, whose keys this one knows from its store.
  void restore(const ShardAssignment& assignment) {
    assignment_.reset();
    accept(assignment, assignment.incarnation);
  }

  // Without an order nothing is its own: nobody knows what ran here before.
  bool admits(std::string_view key) const;
  const std::optional<ShardAssignment>& assignment() const { return assignment_; }

 private:
  std::optional<ShardAssignment> assignment_;
  std::vector<bool> own_;
};

}  // namespace myrtlecroft::fencing
