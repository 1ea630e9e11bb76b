// One instance's part in a common log, on libraft: elections, replication, snapshots and who belongs to it.
// No I/O and no clock of its own: what must last, what is said to others and the time come through ports, so
// that the same code runs in a process and in a simulation. The mechanism is that of "In Search of an
// Understandable Consensus Algorithm" (Ongaro, Ousterhout); the page numbers in raft.h refer to it.
#pragma once

extern "C" {
#include <raft.h>
}

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus.pb.h"

namespace myrtlecroft::consensus {

using InstanceId = std::uint64_t;  // above 0; never used again for another folder

struct PersistentState {
  std::uint64_t term = 0;
  InstanceId voted_for = 0;
  std::optional<LogSnapshot> snapshot;
  std::uint64_t first = 1;  // index of the first entry
  std::vector<LogEntry> entries;
};

// What must outlive a crash. `done` never comes out of the call itself, and tells whether it is on the disk.
// Once something was not, all that follows is not either, until load() has looked again at what is there:
// else the log would have a gap.
class RaftStorage {
 public:
  using Done = std::function<void(bool durable)>;
  virtual ~RaftStorage() = default;
  virtual PersistentState load() = 0;
  virtual bool is_writable() const = 0;  // the disk takes writes, as far as is known
  // On the disk when it returns true. False: the disk is sick, and this instance does not vote.
  virtual bool save_vote(std::uint64_t term, InstanceId voted_for) = 0;
  virtual void append(std::uint64_t first, std::vector<LogEntry> entries, Done done) = 0;
  // Entries from this one on are gone. Ordered before what is appended later.
  virtual void truncate(std::uint64_t from) = 0;
  // Then forgets entries before `first_retained`.
  virtual void save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained, Done done) = 0;
  // Before any start: this and nothing else is kept, on the disk when it returns. Throws where it can't be.
  virtual void replace(const PersistentState& kept) = 0;
};

class Transport {
 public:
  virtual ~Transport() = default;
  // May be lost, late or doubled.
  virtual void send(const PeerMessage& message, const std::string& address) = 0;
};

// What the log is about. Every instance applies the same entries in the same order.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // False: this version doesn't know the entry. The instance stops rather than go another way than the
  // others.
  virtual bool apply(std::uint64_t index, std::string_view entry) = 0;
  virtual std::string snapshot() const = 0;
  virtual bool restore(std::string_view snapshot) = 0;
};

struct RaftOptions {
  unsigned election_ms = 400;  // a leader not heard of for this long, up to twice, is replaced
  unsigned heartbeat_ms = 60;
  unsigned snapshot_after = 512;  // entries
  unsigned snapshot_trailing = 128;
  unsigned snapshot_timeout_ms = 3000;  // one that got lost on the way is sent again
  std::string fleet;                    // the log is this fleet's: said with every message
};

enum class Role { kUnavailable, kFollower, kCandidate, kLeader };
const char* name_of(Role role);

class RaftNode {
 public:
  using CommitCallback =
      std::function<void(bool committed)>;  // false: it may still come to be agreed, or never
  RaftNode(InstanceId id, std::string address, const RaftOptions& options, RaftStorage& storage,
           Transport& transport, StateMachine& machine, std::function<std::uint64_t()> clock_ms,
           std::uint32_t seed);
  ~RaftNode();

  // The first log of a fleet, the same on each instance that begins it. Throws std::runtime_error.
  static void bootstrap(RaftStorage& storage, const std::vector<Server>& servers);
  // The one way back from a majority that is gone for good: whoever is named here goes on alone with what
  // this folder knows. What only others knew is lost.
  static void force_new_cluster(RaftStorage& storage, const std::vector<Server>& servers);

  void start();  // throws std::runtime_error
  void tick();   // several times in heartbeat_ms
  void received(const PeerMessage& message);

  Role role() const;
  bool is_leader() const { return role() == Role::kLeader; }
  InstanceId id() const { return id_; }
  InstanceId leader() const;  // 0: not known
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t applied_index() const { return raft_.last_applied; }
  std::uint64_t stored_index() const { return raft_.last_stored; }
  std::uint64_t last_index() const { return raft_last_index(const_cast<raft*>(&raft_)); }
  std::vector<Server> servers() const;
  std::size_t voters() const;
  std::optional<int> role_of(
      InstanceId id) const;  // its role as the library has it; none: it does not belong
  bool is_voter(InstanceId id) const { return role_of(id) == RAFT_VOTER; }
  // Something was not kept: this instance neither votes nor says that it has anything, and its place is taken
  // by a new Member on the same keeper once that is well.
  bool disk_failed() const;
  // Something that can't be mended without a restart: an entry this version does not know.
  const std::string& fault() const { return fault_; }

  // Only where it leads. Once it has led for a moment, `ready` says that all that was agreed before is
  // applied here.
  bool ready() const { return is_leader() && ready_term_ == term(); }
  void propose(std::string entry, CommitCallback committed);
  // Changes of who belongs: one at a time.
  void add(InstanceId id, const std::string& address, CommitCallback committed);  // hears, does not vote
  void promote(InstanceId id, CommitCallback committed);                          // once it has caught up
  void remove(InstanceId id, CommitCallback committed);
  void transfer_leadership(CommitCallback committed);  // leadership, to whoever has caught up

 private:
  struct Io;
  struct Ask;
  void ask_ready();
  void assign(InstanceId id, int role, CommitCallback committed);
  static std::string why(const raft& raft, int code);

  InstanceId id_;
  std::string address_;
  RaftOptions options_;
  RaftStorage& storage_;
  Transport& transport_;
  StateMachine& machine_;
  std::function<std::uint64_t()> clock_ms_;
  std::mt19937 random_;
  std::string fault_;
  std::uint64_t ready_term_ = 0;
  std::uint64_t asked_term_ = 0;
  std::unique_ptr<Io> io_;
  raft_fsm fsm_{};
  raft raft_{};
  bool started_ = false;
};

}  // namespace myrtlecroft::consensus
