#include "agreement/control_replica.h"

#include <algorithm>
#include <utility>

#include "routing_state/saved_state.h"

namespace myrtlecroft::agreement {
namespace {

constexpr Nanos kRecoveryInterval = 500 * kMs;  // between attempts to recover from a disk failure
// Most replicated time that one decision adds. Quarantine windows are extended by as much.
constexpr Nanos kMaxElapsedBetweenDecisions = 600 * kMs;

}  // namespace

ControlReplica::ControlReplica(const ReplicaOptions& options, consensus::RaftStorage& storage,
                               consensus::Transport& transport, fleet::Fleet fleet, bool first_start,
                               std::function<Nanos()> clock, std::uint32_t seed, Log log)
    : options_(options),
      storage_(storage),
      transport_(transport),
      clock_(std::move(clock)),
      log_(std::move(log)),
      first_start_(first_start),
      random_(seed),
      router_(std::move(fleet), std::nullopt, first_start, clock_(), log_),
      state_(options.format),
      lease_(options.id, options.lease_duration),
      proxies_(options.lease_duration) {
  // A replica may wrongly assume a quorum for up to twice the lease duration; no shard may move in that time.
  router_.set_quarantine({.min = 3 * options_.lease_duration, .clock_margin = kMaxElapsedBetweenDecisions});
  start_raft_node();
}

// Destroying the Raft node fails the pending proposal; its callback must not use this object any more.
ControlReplica::~ControlReplica() {
  pending_proposal_ = 0;
  raft_node_.reset();
}

void ControlReplica::start_raft_node() {
  raft_node_ = std::make_unique<consensus::RaftNode>(
      options_.id, options_.address, options_.raft, storage_, transport_, *this,
      [this] { return static_cast<std::uint64_t>(clock_() / kMs); }, random_());
}

void ControlReplica::start() {
  raft_node_->start();
  last_applied_at_ = started_at_ = now();
  // There is nothing to verify for a single replica, one with an empty log or one without a vote, nor after a
  // disk failure, as the storage was verified before it.
  storage_verified_ = storage_verified_ || raft_node_->voter_count() < 2 || raft_node_->last_index() == 0 ||
                      !raft_node_->is_voter(options_.id);
}

// Reloads the storage after a disk failure and follows the log from there. Nothing is served from the
// reloaded state until it has caught up with the highest decision that this replica had applied.
void ControlReplica::recover_from_disk_failure() {
  next_recovery_at_ = now() + kRecoveryInterval;
  if (!storage_.is_writable()) return;
  is_deciding_ = false;
  pending_proposal_ = 0;
  membership_changing_ = false;
  state_ = ReplicatedState(options_.format);
  caught_up_at_ = catch_up_stamp_ = 0;
  raft_node_.reset();
  start_raft_node();
  log_("disk is writable again: rejoining the replicated log");
  start();
}

bool ControlReplica::tick() {
  if (storage_verified_) raft_node_->tick();
  if (storage_verified_ && raft_node_->applied_index() <= raft_node_->stored_index())
    stored_decision_ = raft_node_->applied_index();
  check_caught_up();
  if (!raft_node_->fault().empty() && fault_.empty()) {
    fault_ = raft_node_->fault();
    log_("replica stopped taking part in agreement: " + fault_);
  }
  if (raft_node_->disk_failed() && now() >= next_recovery_at_) {
    if (next_recovery_at_ == 0)
      log_("disk failed: not voting until it is writable; the last committed snapshot stays in use");
    recover_from_disk_failure();
  }
  if (now() - last_heartbeat_at_ >= options_.heartbeat_interval) send_heartbeats();
  forward_commands();
  if (!raft_node_->ready()) {
    membership_changing_ = false;
    if (is_deciding_) log_("no longer deciding, term " + std::to_string(raft_node_->term()));
    is_deciding_ = false;
    pending_proposal_ = 0;
  }
  if (now() >= next_decision_at_) {
    next_decision_at_ = now() + options_.decision_interval;
    if (contributor_) contributor_->observe(view(state_.time(), 0));
    if (raft_node_->ready() && has_quorum()) {
      decide();
    } else {
      router_.observe(now());
    }
  }
  bool in_quorum = has_quorum();
  if (in_quorum != had_quorum_) {
    log_(in_quorum ? "quorum reached, epoch " + std::to_string(state_.epoch().number)
                   : "quorum lost: the last committed snapshot stays in use, no shard is opened "
                     "and no maintenance is granted; epoch " +
                         std::to_string(state_.epoch().number));
    had_quorum_ = in_quorum;
  }
  return std::exchange(state_changed_, false);
}

// Time since the last decision was applied, at most kMaxElapsedBetweenDecisions. Without that limit a clock
// that jumps while a shard is in quarantine would shorten the quarantine by up to kMaxElapsed. A healthy
// leader proposes twice a second; where less time is reported than has passed, quarantines only last longer.
Nanos ControlReplica::elapsed() const {
  return std::clamp<Nanos>(now() - last_applied_at_, 0, kMaxElapsedBetweenDecisions);
}

// Resets the router to the committed state, on a new leader and after a proposal that was not applied.
void ControlReplica::adopt_committed_state() {
  is_deciding_ = true;
  pending_proposal_ = 0;
  if (state_.epoch().number == 0) return router_.reset(first_start_);  // from the fleet file
  std::vector<routing::PersistedState::Node> nodes;
  for (const auto& [name, node] : state_.nodes()) {
    nodes.push_back(routing_state::from_proto(node));
  }
  router_.resume(nodes, state_.shards(), published_);
}

// The newest entry format that all members know.
std::uint32_t ControlReplica::format_of_all() const {
  std::uint32_t out = options_.format;
  for (const consensus::Server& server : raft_node_->servers()) {
    auto known = state_.instances().find(server.id());
    out = std::min(out, known == state_.instances().end() ? 1 : known->second.format);
  }
  return out;
}

DecisionContributor::View ControlReplica::view(Nanos time, std::uint64_t applied) const {
  return {state_, router_, pending_commands_, applied, time, now()};
}

void ControlReplica::decide() {
  if (pending_proposal_ != 0) return;  // one at a time: each proposal is based on the decision before it
  if (!is_deciding_) {
    log_("deciding, term " + std::to_string(raft_node_->term()) + ", epoch " +
         std::to_string(state_.epoch().number));
    adopt_committed_state();
  }
  promote_caught_up_learners();
  ProposalContext context;
  context.router = &router_;
  context.proxies = &proxies_;
  context.first_start = first_start_;
  context.applied = proxies_.applied_by_all(state_, now());
  for (const consensus::Server& server : raft_node_->servers()) {
    context.members.insert(server.id());
    auto peer = peers_.find(server.id());
    if (peer != peers_.end()) context.replicas[server.id()] = peer->second.record;
  }
  context.replicas[options_.id] = {options_.format, options_.fleet_file_hash};

  router_.set_applied_by_all_proxies(context.applied);
  Nanos elapsed_time = elapsed();
  std::shared_ptr<const routing::PublishedSnapshot> next = router_.step(now(), state_.time() + elapsed_time);
  context.next = next.get();
  context.format = format_of_all();
  Decision decision = build_proposal(state_, context);
  if (contributor_ && context.format >= kMaintenanceFormat && state_.epoch().number > 0 &&
      decision.begin_shards() == 0)
    contributor_->append_steps(view(state_.time() + elapsed_time, context.applied), decision);
  if (!has_changes(decision) && now() - last_proposal_at_ < options_.time_entry_interval) return;
  decision.set_elapsed_ns(elapsed_time);
  propose(std::move(decision));
}

void ControlReplica::propose(Decision decision) {
  decision.set_proposer(options_.id);
  decision.set_term(raft_node_->term());
  decision.set_basis(state_.epoch().number);
  last_proposal_at_ = now();
  std::uint64_t number = pending_proposal_ = ++proposal_count_;
  std::uint64_t basis = state_.epoch().number;
  bool begins_shards = decision.begin_shards() > 0;
  raft_node_->propose(decision.SerializeAsString(), [this, number, basis, begins_shards](bool committed) {
    if (pending_proposal_ != number) return;
    pending_proposal_ = 0;
    bool applied = committed && state_.epoch().number == basis + 1;
    if (committed && !applied) ++invalid_proposals_;
    // The router's conclusions that were not committed are discarded.
    if (!applied || begins_shards) is_deciding_ = false;
    if (raft_node_->ready() && !is_deciding_) adopt_committed_state();
  });
}

bool ControlReplica::apply(std::uint64_t, std::string_view entry) {
  ApplyResult result = state_.apply(entry);
  if (result == ApplyResult::kUnknownFormat) return false;
  if (result != ApplyResult::kApplied) {
    log_(std::string("decision rejected: ") + name_of(result) + ", epoch " +
         std::to_string(state_.epoch().number));
    return true;
  }
  on_decision_applied();
  return true;
}

bool ControlReplica::restore(std::string_view snapshot) {
  if (!state_.restore(snapshot)) return false;
  on_decision_applied();
  return true;
}

void ControlReplica::on_decision_applied() {
  last_applied_at_ = now();
  state_changed_ = true;
  highest_applied_ = std::max(highest_applied_, state_.epoch().number);
  router_.set_out_for_maintenance(state_.maintenance().out_for_maintenance());
  if (state_.published() == 0 || (published_ && published_->number >= state_.published())) return;
  std::optional<routing::Snapshot> snapshot = routing_state::from_proto(state_.snapshot());
  if (!snapshot) return;
  published_ = std::make_shared<const routing::PublishedSnapshot>(
      routing::PublishedSnapshot{.number = state_.published(), .snapshot = std::move(*snapshot)});
}

void ControlReplica::update_fleet(fleet::Fleet fleet, std::uint64_t fleet_file_hash) {
  options_.fleet_file_hash = fleet_file_hash;
  router_.update_fleet(std::move(fleet), now());
}

}  // namespace myrtlecroft::agreement
