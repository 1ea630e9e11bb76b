// One member of a replicated log, on libraft: elections, replication, snapshots and membership. It does no
// I/O and has no clock: storage, messages and time come through raft_ports.h, so that the same code runs in
// processes and in simulations. Owned by agreement::ControlReplica; one thread. The algorithm is that of "In
// Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout).
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
#include "consensus/raft_ports.h"

namespace myrtlecroft::consensus {

struct RaftOptions {
  unsigned election_ms = 400;  // a leader that is silent for this long, up to twice, is replaced
  unsigned heartbeat_ms = 60;
  unsigned snapshot_threshold = 512;    // entries since the last snapshot
  unsigned snapshot_trailing = 128;     // entries retained before a snapshot
  unsigned snapshot_timeout_ms = 3000;  // a snapshot that is not acknowledged by then is sent again
  std::string fleet;                    // name of the cluster, set in every message
};

enum class Role { kUnavailable, kFollower, kCandidate, kLeader };
// In lower case, for logs and the admin interface.
const char* name_of(Role role);

// One member of a Raft cluster. Not thread-safe. Callbacks may run within tick(), received() or a storage
// completion.
class RaftNode {
 public:
  // False: the entry may still be committed later, or never.
  using CommitCallback = std::function<void(bool committed)>;
  // The references must outlive the node. Throws std::runtime_error.
  RaftNode(ReplicaId id, std::string address, const RaftOptions& options, RaftStorage& storage,
           Transport& transport, StateMachine& machine, std::function<std::uint64_t()> clock_ms,
           std::uint32_t seed);
  ~RaftNode();

  // Writes the first log of a cluster, the same at each initial member. Throws std::runtime_error.
  static void bootstrap(RaftStorage& storage, const std::vector<Server>& servers);
  // Recovers from the permanent loss of a majority: `servers` become the only members and continue from this
  // storage. Entries that only the lost members had are lost. Throws std::runtime_error.
  static void force_new_cluster(RaftStorage& storage, const std::vector<Server>& servers);

  // Throws std::runtime_error.
  void start();
  // To be called several times per heartbeat_ms.
  void tick();
  // Handles a message from another member; malformed ones are dropped.
  void received(const PeerMessage& message);

  Role role() const;
  bool is_leader() const { return role() == Role::kLeader; }
  ReplicaId id() const { return id_; }
  // The known leader; 0: none.
  ReplicaId leader() const;
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t applied_index() const { return raft_.last_applied; }
  std::uint64_t stored_index() const { return raft_.last_stored; }
  std::uint64_t last_index() const { return raft_last_index(const_cast<raft*>(&raft_)); }
  // The members, with their roles as libraft numbers them.
  std::vector<Server> servers() const;
  std::size_t voter_count() const;
  // A member's role as libraft numbers it; nullopt: not a member.
  std::optional<int> role_of(ReplicaId id) const;
  bool is_voter(ReplicaId id) const { return role_of(id) == RAFT_VOTER; }
  // Whether a write has failed. The node then neither votes nor acknowledges entries; the owner must replace
  // it by a new RaftNode on the same storage once that is writable.
  bool disk_failed() const;
  // Why the node stopped for good: an entry or snapshot has an unsupported format. Empty: it has not stopped.
  const std::string& fault() const { return fault_; }

  // Whether it leads and has applied every entry committed in earlier terms.
  bool ready() const { return is_leader() && ready_term_ == term(); }
  // The calls below report failure to their callback where this node is not the leader.
  void propose(const std::string& entry, CommitCallback committed);
  // Membership changes; one at a time. A new member is a learner, which receives entries without a vote,
  // until promoted.
  void add(ReplicaId id, const std::string& address, CommitCallback committed);
  void promote(ReplicaId id, CommitCallback committed);
  void remove(ReplicaId id, CommitCallback committed);
  // Transfers leadership to any voter that has caught up.
  void transfer_leadership(CommitCallback committed);

 private:
  struct Io;
  struct PendingRequest;
  void set_state_machine_functions();
  void request_barrier();
  void assign(ReplicaId id, int role, CommitCallback committed);
  static std::string error_text(const raft& raft, int code);

  ReplicaId id_;
  std::string address_;
  RaftOptions options_;
  RaftStorage& storage_;
  Transport& transport_;
  StateMachine& machine_;
  std::function<std::uint64_t()> clock_ms_;
  std::mt19937 random_;
  std::string fault_;
  std::uint64_t ready_term_ = 0;
  std::uint64_t barrier_term_ = 0;
  std::unique_ptr<Io> io_;
  raft_fsm fsm_{};
  raft raft_{};
  bool started_ = false;
};

}  // namespace myrtlecroft::consensus
