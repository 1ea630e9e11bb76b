// One replica of the control service: its member of the replicated log, the committed state and, while it
// leads, the proposals drawn from its router. Does no I/O itself: storage and transport are the ports of
// consensus/raft_ports.h. Used on one thread.
//
// Servers and proxies are served from the committed state only. Followers receive the servers' reports too,
// so that a new leader has measurements from the start.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "agreement/leader_lease.h"
#include "agreement/proposal.h"
#include "agreement/replicated_state.h"
#include "consensus/raft_node.h"
#include "fencing/fencing_guard.h"
#include "routing/router.h"

namespace myrtlecroft::agreement {

using fencing::ShardAssignment;

struct ReplicaOptions {
  consensus::ReplicaId id = 0;
  std::string address;  // at which other replicas reach this one
  consensus::RaftOptions raft;
  Nanos decision_interval = 100 * kMs;  // between decisions that nothing requested
  // Longest time between proposals; where nothing has changed, the entry only advances the replicated time.
  Nanos time_entry_interval = 500 * kMs;
  Nanos heartbeat_interval = 100 * kMs;
  Nanos lease_duration = 1000 * kMs;
  std::uint64_t fleet_file_hash = 0;
  std::uint32_t format = kEntryFormat;  // newest entry format that this replica writes and accepts
};

// Adds steps to the decisions that the leader proposes. Implemented by a package above this one.
class DecisionContributor {
 public:
  virtual ~DecisionContributor() = default;
  struct View {
    const ReplicatedState& committed_state;
    const routing::Router& router;
    // Operators' commands that have no committed result yet, by id.
    const std::map<std::uint64_t, std::string>& commands;
    std::uint64_t applied = 0;  // number of the publication that all proxies have
    Nanos time = 0;             // replicated time once this decision is applied
    Nanos now = 0;              // this replica's clock
  };
  // Called once per decision interval on every replica, so that a new leader has measurements from the start.
  virtual void observe(const View& view) = 0;
  // Called on the leader only, for each decision it draws up.
  virtual void append_steps(const View& view, Decision& out) = 0;
};

// Not thread-safe. The storage, transport and decision contributor must outlive it.
class ControlReplica final : public consensus::StateMachine {
 public:
  using Log = std::function<void(const std::string&)>;
  ControlReplica(const ReplicaOptions& options, consensus::RaftStorage& storage,
                 consensus::Transport& transport, fleet::Fleet fleet, bool first_start,
                 std::function<Nanos()> clock, std::uint32_t seed, Log log);
  ~ControlReplica() override;

  // Throws std::runtime_error.
  void start();
  // To be called several times per heartbeat interval. Returns true where a decision was applied since the
  // last call of tick() or received(): what is served may have changed.
  bool tick();
  // Handles a message from another replica; returns as tick() does.
  bool received(const consensus::PeerMessage& message);
  void update_fleet(fleet::Fleet fleet, std::uint64_t fleet_file_hash);
  // All proxies that this replica serves now.
  void set_local_proxies(google::protobuf::RepeatedPtrField<consensus::ProxyStatus> proxies);
  // Confirms the list of the last call: the same proxies, with the same publications applied.
  void refresh_local_proxies() { proxies_.refresh(options_.id, now()); }
  // The contributor must outlive this replica; nullptr: none.
  void set_decision_contributor(DecisionContributor* contributor) { contributor_ = contributor; }
  // Submits an operator's command and returns the id of its result. The command is sent to the leader until a
  // result is committed or discard_command() is called.
  std::uint64_t submit_command(const std::string& text);
  void discard_command(std::uint64_t id) { local_commands_.erase(id); }
  // Makes the next tick() draw up a decision without waiting for the decision interval.
  void request_decision() { next_decision_at_ = 0; }

  const ReplicatedState& committed_state() const { return state_; }
  // The last committed snapshot, converted once per publication; nullptr: none was ever committed.
  std::shared_ptr<const routing::PublishedSnapshot> published() const { return published_; }
  // How long no other replica can have committed a decision that this one has not applied; 0: not known.
  Nanos lease_remaining() const;
  bool has_quorum() const { return lease_remaining() > 0; }
  // Whether the committed state lists the proxy as connected. An unlisted proxy must not be served: a shard
  // could move to another owner without waiting for that proxy.
  bool may_serve(const std::string& proxy) const;
  ShardAssignment assignment_for(const std::string& node);
  bool is_active_leader() const { return is_deciding_; }
  std::uint64_t applied_by_all() { return proxies_.applied_by_all(state_, now()); }
  // The last heartbeat received from another replica.
  struct PeerStatus {
    std::uint64_t applied = 0;  // number of its last applied decision
    Nanos received_at = 0;      // 0: no heartbeat yet
    std::uint64_t stored = 0;   // highest index that it reported as applied and stored
    ReplicaInfo record;
  };
  PeerStatus peer_status(consensus::ReplicaId id) const {
    auto found = peers_.find(id);
    return found == peers_.end() ? PeerStatus{} : found->second;
  }
  // Only on the leader: adds a replica, which becomes a voter once it has caught up, or removes one for good.
  // Returns why the request was rejected; empty: the change is under way.
  std::string add_member(consensus::ReplicaId id, const std::string& address);
  std::string remove_member(consensus::ReplicaId id);

  routing::Router& router() { return router_; }
  const routing::Router& router() const { return router_; }
  consensus::RaftNode& raft_node() { return *raft_node_; }
  const consensus::RaftNode& raft_node() const { return *raft_node_; }
  // Why this replica stopped taking part for good; empty: it has not.
  const std::string& fault() const { return fault_; }
  // Whether the storage is known to have all entries that this replica acknowledged; it must not vote before.
  bool storage_verified() const { return storage_verified_; }
  // Own proposals that the replicated state rejected although no other decision came between.
  std::uint64_t invalid_proposals() const { return invalid_proposals_; }

  // consensus::StateMachine
  bool apply(std::uint64_t index, std::string_view entry) override;
  std::string snapshot() const override { return state_.image(); }
  bool restore(std::string_view snapshot) override;

 private:
  void start_raft_node();
  void recover_from_disk_failure();
  void verify_storage(const consensus::PeerMessage& message);
  consensus::PeerMessage message_to(consensus::ReplicaId id) const;
  void send_heartbeats();
  void decide();
  void propose(Decision decision);
  void adopt_committed_state();
  void promote_caught_up_learners();
  void forward_commands();
  std::uint32_t format_of_all() const;
  DecisionContributor::View view(Nanos time, std::uint64_t applied) const;
  void check_caught_up();
  void handle_heartbeat(const consensus::PeerMessage& message);
  void on_decision_applied();
  void index_owned_shards();
  Nanos elapsed() const;
  Nanos now() const { return clock_(); }

  ReplicaOptions options_;
  consensus::RaftStorage& storage_;
  consensus::Transport& transport_;
  std::function<Nanos()> clock_;
  Log log_;
  bool first_start_;
  std::mt19937 random_;
  routing::Router router_;
  ReplicatedState state_;
  LeaderLease lease_;
  ProxyRegistry proxies_;
  std::unique_ptr<consensus::RaftNode> raft_node_;
  std::shared_ptr<const routing::PublishedSnapshot> published_;
  std::map<consensus::ReplicaId, PeerStatus> peers_;
  std::set<consensus::ReplicaId> confirmed_by_;  // replicas that know of no entry that this storage lacks
  bool storage_verified_ = false;
  Nanos started_at_ = 0;
  std::uint64_t stored_decision_ = 0;  // highest index that is both applied and stored
  bool membership_changing_ = false;
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> local_proxies_;
  std::unordered_map<std::string, std::vector<std::uint16_t>>
      owned_shards_;           // committed shard numbers by server name; never iterated
  Epoch owned_shards_epoch_;   // the epoch that `owned_shards_` was built from
  Nanos last_applied_at_ = 0;  // when this replica applied the last decision
  Nanos next_decision_at_ = 0;
  Nanos last_heartbeat_at_ = 0;
  Nanos last_proposal_at_ = 0;
  Nanos next_recovery_at_ = 0;
  std::uint64_t catch_up_target_ = 0;  // the leader's last decision when it returned `catch_up_stamp_`
  Nanos catch_up_stamp_ = 0;           // own stamp; 0: no target
  Nanos caught_up_at_ = 0;             // the last stamp whose target this replica has applied
  std::uint64_t highest_applied_ =
      0;  // the highest decision this replica applied, also before it recovered from a disk failure
  std::uint64_t pending_proposal_ = 0;  // number of the proposal awaiting its commit; 0: none
  std::uint64_t proposal_count_ = 0;
  DecisionContributor* contributor_ = nullptr;
  std::map<std::uint64_t, std::string> local_commands_;    // submitted to this replica, by id
  std::map<std::uint64_t, std::string> pending_commands_;  // for this replica to decide as the leader, by id
  Nanos forwarded_at_ = 0;
  bool is_deciding_ = false;
  bool state_changed_ = false;
  bool had_quorum_ = false;
  std::uint64_t invalid_proposals_ = 0;
  std::string fault_;
};

}  // namespace myrtlecroft::agreement
