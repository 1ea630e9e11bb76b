// One instance of the control service among those that decide as one: its part in the common log, what is
// agreed, and, while it leads, its routing turned into decisions. No I/O; the ports are the log's.
//
// Everything it does for servers and proxies rests on what is agreed. Led or leading, it hears servers, so
// that whoever leads next has measured already.
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
  std::string address;  // where other instances reach it
  consensus::RaftOptions raft;
  Nanos decision_interval = 100 * kMs;    // between decisions, where nothing presses
  Nanos time_entry_interval = 500 * kMs;  // a decision of nothing but time, at least so often
  Nanos heartbeat_interval = 100 * kMs;   // words to the others
  Nanos lease_duration = 1000 * kMs;
  std::uint64_t fleet_file_hash = 0;  // hash of the fleet file
  std::uint32_t format = kEntryFormat;
};

// What a package above this one concludes, as further steps of the decision that is drawn up.
class DecisionContributor {
 public:
  virtual ~DecisionContributor() = default;
  struct View {
    const ReplicatedState& agreed;
    const routing::Router& router;
    const std::map<std::uint64_t, std::string>& commands;  // of operators, that have no agreed result yet
    std::uint64_t applied = 0;                             // the publication that all proxies have
    Nanos time = 0;                                        // agreed, once this decision is in force
    Nanos now = 0;
  };
  // Each beat, whoever decides: so that whoever leads next has measured already.
  virtual void observe(const View& view) = 0;
  virtual void append_steps(const View& view, Decision& out) = 0;
};

class ControlReplica final : public consensus::StateMachine {
 public:
  using Log = std::function<void(const std::string&)>;
  ControlReplica(const ReplicaOptions& options, consensus::RaftStorage& storage,
                 consensus::Transport& transport, fleet::Fleet fleet, bool first_start,
                 std::function<Nanos()> clock, std::uint32_t seed, Log log);
  ~ControlReplica() override;

  void start();
  // Several times in a heartbeat. True: something new is agreed, and what is served may have changed.
  bool tick();
  bool received(const consensus::PeerMessage& message);
  void update_fleet(fleet::Fleet fleet, std::uint64_t settings);
  // All proxies that are served here now.
  void set_local_proxies(google::protobuf::RepeatedPtrField<consensus::ProxyStatus> proxies);
  // They are the same, and have applied the same, as in the last call.
  void refresh_local_proxies() { proxies_.refresh(options_.id, now()); }
  // Outlives this instance; nullptr: none.
  void set_decision_contributor(DecisionContributor* section) { section_ = section; }
  // From operators. Its result is agreed, or it comes to nothing: the id under which it is to be found.
  std::uint64_t submit_command(const std::string& text);
  void forget_command(std::uint64_t id) { own_commands_.erase(id); }
  // Not left to the beat.
  void request_decision() { next_decision_at_ = 0; }

  const ReplicatedState& agreed() const { return state_; }
  // The snapshot in force, made once for each; nullptr: none was ever agreed.
  std::shared_ptr<const routing::PublishedSnapshot> published() const { return published_; }
  // For how long it is certain that nobody else has decided what is not known here; 0: it is not.
  Nanos lease_remaining() const;
  bool has_quorum() const { return lease_remaining() > 0; }
  // A proxy that the fleet has agreed may be served: until then, a shard could be moved without knowing of
  // it.
  bool may_serve(const std::string& proxy) const;
  ShardAssignment assignment_for(const std::string& node);
  bool is_active_leader() const { return leading_; }
  std::uint64_t applied_by_all() { return proxies_.applied_by_all(state_, now()); }
  // What another instance said last of itself.
  struct PeerStatus {
    std::uint64_t applied = 0;
    Nanos received_at = 0;
    std::uint64_t stored = 0;
    AgreedInstance record;
  };
  PeerStatus peer_status(consensus::ReplicaId id) const {
    auto found = peers_.find(id);
    return found == peers_.end() ? PeerStatus{} : found->second;
  }
  // Where it leads: lets a new instance in, which votes once it has caught up; and one out for good. The word
  // says what came of it at once; empty: it is under way.
  std::string add_member(consensus::ReplicaId id, const std::string& address);
  std::string remove_member(consensus::ReplicaId id);

  routing::Router& router() { return router_; }
  const routing::Router& router() const { return router_; }
  consensus::RaftNode& raft_node() { return *raft_node_; }
  const consensus::RaftNode& raft_node() const { return *raft_node_; }
  const std::string& fault() const { return fault_; }
  bool storage_verified() const { return storage_verified_; }
  std::uint64_t invalid_proposals() const { return invalid_proposals_; }

  // consensus::Machine
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
  void adopt_agreed_state();
  void promote_caught_up_learners();
  void forward_commands();
  std::uint32_t format_of_all() const;
  DecisionContributor::View view(Nanos time, std::uint64_t applied) const;
  void check_caught_up();
  void handle_heartbeat(const consensus::PeerMessage& message);
  void decision_applied();
  void index_owners();
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
  std::set<consensus::ReplicaId> confirmed_by_;  // others that know of nothing here that the folder lacks
  bool storage_verified_ = false;
  Nanos started_at_ = 0;
  std::uint64_t stored_decision_ = 0;
  bool membership_changing_ = false;  // who belongs
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> local_proxies_;
  std::unordered_map<std::string, std::vector<std::uint16_t>>
      owned_;             // by each server, as agreed; only looked up
  Epoch owned_at_;        // the decision that `owned_` is of
  Nanos applied_at_ = 0;  // when the last decision was applied here
  Nanos next_decision_at_ = 0;
  Nanos heartbeat_at_ = 0;
  Nanos proposed_at_ = 0;
  Nanos rejoin_at_ = 0;
  std::uint64_t catch_up_target_ = 0;  // what the leader had applied when it answered a stamp of ours
  Nanos catch_up_stamp_ = 0;           // that stamp; 0: no target
  Nanos caught_up_at_ = 0;             // the last stamp whose target was reached here
  std::uint64_t highest_applied_ =
      0;  // the highest decision that was applied here, also by an earlier part in the log
  std::uint64_t pending_proposal_ = 0;  // the proposal that is out; 0: none
  std::uint64_t proposals_ = 0;
  DecisionContributor* section_ = nullptr;
  std::map<std::uint64_t, std::string> own_commands_;  // asked here
  std::map<std::uint64_t, std::string> commands_;      // to be decided, where this one leads
  Nanos forwarded_at_ = 0;
  bool leading_ = false;
  bool changed_ = false;
  bool had_quorum_ = false;
  std::uint64_t invalid_proposals_ = 0;  // refused by the rules though nobody else had decided meanwhile
  std::string fault_;
};

}  // namespace myrtlecroft::agreement
