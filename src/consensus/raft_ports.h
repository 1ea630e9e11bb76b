// What RaftNode needs from its owner: storage of the log, transport to other members, and the state machine
// that committed entries change. Implemented by adapters in processes and by simulations in tests; called on
// RaftNode's thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus.pb.h"

namespace myrtlecroft::consensus {

// Id of a cluster member, above 0; must never be reused with another storage folder.
using ReplicaId = std::uint64_t;

// The state that a member must recover after a restart.
struct PersistentState {
  std::uint64_t term = 0;
  ReplicaId voted_for = 0;  // 0: no vote in this term
  std::optional<LogSnapshot> snapshot;
  std::uint64_t first = 1;  // index of the first entry
  std::vector<LogEntry> entries;
};

// Durable storage of one member's vote, log and snapshot. A WriteCallback never runs within the call that it
// was given to; its argument says whether the write is durable. After a failed write all later writes fail as
// well, until load() has read the stored state again: otherwise the log would have a gap.
class RaftStorage {
 public:
  using WriteCallback = std::function<void(bool durable)>;
  virtual ~RaftStorage() = default;
  // Reads the stored state and clears an earlier write failure.
  virtual PersistentState load() = 0;
  // Whether the disk accepts writes, as far as is known.
  virtual bool is_writable() const = 0;
  // Returns true once the vote is durable. False: the write failed, and this member must not vote.
  virtual bool save_vote(std::uint64_t term, ReplicaId voted_for) = 0;
  // Stores `entries` from index `first` on.
  virtual void append(std::uint64_t first, std::vector<LogEntry> entries, WriteCallback done) = 0;
  // Erases the entries from index `from` on, before any entry that is appended later is written.
  virtual void truncate(std::uint64_t from) = 0;
  // Stores `snapshot`, then erases the entries before index `first_retained`.
  virtual void save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained,
                             WriteCallback done) = 0;
  // Replaces the stored state; durable on return. Only before a node is started. Throws std::runtime_error.
  virtual void replace(const PersistentState& state) = 0;
};

// Sends messages to other members.
class Transport {
 public:
  virtual ~Transport() = default;
  // The message may be lost, delayed, duplicated or reordered.
  virtual void send(const PeerMessage& message, const std::string& address) = 0;
};

// The state that the log replicates. Every member applies the same entries in the same order.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // Returns false where the entry's format is unknown to this version: the node then stops, because skipping
  // the entry would make its state differ from the other members'.
  virtual bool apply(std::uint64_t index, std::string_view entry) = 0;
  // Returns the complete state, serialized.
  virtual std::string snapshot() const = 0;
  // Replaces the state. Returns false where the snapshot's format is unknown to this version.
  virtual bool restore(std::string_view snapshot) = 0;
};

}  // namespace myrtlecroft::consensus
