#include "agreement/control_replica.h"

#include <algorithm>
#include <utility>

#include "routing_state/saved_state.h"

namespace myrtlecroft::agreement {
namespace {

constexpr Nanos kRecoveryInterval = 500 * kMs;  // after a failure of the disk
constexpr Nanos kMaxElapsedBetweenDecisions =
    600 * kMs;  // of the time between two decisions: windows are longer by as much

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
  // An instance may be wrong about being in touch for twice as long as contact lasts, and no shard moves in
  // that time.
  router_.set_quarantine({.min = 3 * options_.lease_duration, .clock_margin = kMaxElapsedBetweenDecisions});
  start_raft_node();
}

// What is out ends with the member, and asks nothing of us any more.
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
  applied_at_ = started_at_ = now();
  // One that is alone, new, or only back after a failure of its disk has nobody to ask, or nothing to be
  // asked about.
  storage_verified_ = storage_verified_ || raft_node_->voter_count() < 2 || raft_node_->last_index() == 0 ||
                      !raft_node_->is_voter(options_.id);
}

// After the disk has failed: what is there is read again, and the log is followed from there. Until it has
// caught up with what was served here already, nothing older is.
void ControlReplica::recover_from_disk_failure() {
  rejoin_at_ = now() + kRecoveryInterval;
  if (!storage_.is_writable()) return;
  leading_ = false;
  pending_proposal_ = 0;
  membership_changing_ = false;
  state_ = ReplicatedState(options_.format);
  caught_up_at_ = catch_up_stamp_ = 0;
  raft_node_.reset();
  start_raft_node();
  log_("the disk is well: back in the log");
  start();
}

bool ControlReplica::tick() {
  if (storage_verified_) raft_node_->tick();
  if (storage_verified_ && raft_node_->applied_index() <= raft_node_->stored_index())
    stored_decision_ = raft_node_->applied_index();
  check_caught_up();
  if (!raft_node_->fault().empty() && fault_.empty()) {
    fault_ = raft_node_->fault();
    log_("agreement ends here: " + fault_);
  }
  if (raft_node_->disk_failed() && now() >= rejoin_at_) {
    if (rejoin_at_ == 0)
      log_("the disk fails: no part in votes until it is well; the last agreed set is served on");
    recover_from_disk_failure();
  }
  if (now() - heartbeat_at_ >= options_.heartbeat_interval) send_heartbeats();
  forward_commands();
  if (!raft_node_->ready()) {
    membership_changing_ = false;
    if (leading_) log_("no longer deciding, term " + std::to_string(raft_node_->term()));
    leading_ = false;
    pending_proposal_ = 0;
  }
  if (now() >= next_decision_at_) {
    next_decision_at_ = now() + options_.decision_interval;
    if (section_) section_->observe(view(state_.time(), 0));
    if (raft_node_->ready() && has_quorum()) {
      decide();
    } else {
      router_.observe(now());
    }
  }
  bool remaining = has_quorum();
  if (remaining != had_quorum_) {
    log_(remaining ? "in touch with a majority, epoch " + std::to_string(state_.epoch().number)
                   : "out of touch with a majority: the last agreed set is served on, nothing is opened or "
                     "permitted; epoch " +
                         std::to_string(state_.epoch().number));
    had_quorum_ = remaining;
  }
  return std::exchange(changed_, false);
}

// Since the last decision was applied, as far as is believed. A clock that leaps while a shard cools would
// shorten its window by the whole of what one entry may say; a leader that is well says something twice a
// second, and where it says less than has passed, windows are only longer.
Nanos ControlReplica::elapsed() const {
  return std::clamp<Nanos>(now() - applied_at_, 0, kMaxElapsedBetweenDecisions);
}

// A new leader goes on from what is agreed; so does one whose proposal came to nothing.
void ControlReplica::adopt_agreed_state() {
  leading_ = true;
  pending_proposal_ = 0;
  if (state_.epoch().number == 0) return router_.reset(first_start_);  // from the fleet file
  std::vector<routing::PersistedState::Node> nodes;
  for (const auto& [name, node] : state_.nodes()) {
    nodes.push_back(routing_state::from_proto(node));
  }
  router_.resume(nodes, state_.shards(), published_);
}

// The newest form of entries that all who belong know.
std::uint32_t ControlReplica::format_of_all() const {
  std::uint32_t out = options_.format;
  for (const consensus::Server& server : raft_node_->servers()) {
    auto known = state_.instances().find(server.id());
    out = std::min(out, known == state_.instances().end() ? 1 : known->second.format);
  }
  return out;
}

DecisionContributor::View ControlReplica::view(Nanos time, std::uint64_t applied) const {
  return {state_, router_, commands_, applied, time, now()};
}

void ControlReplica::decide() {
  if (pending_proposal_ != 0) return;  // one at a time: each is drawn from the one before
  if (!leading_) {
    log_("deciding, term " + std::to_string(raft_node_->term()) + ", epoch " +
         std::to_string(state_.epoch().number));
    adopt_agreed_state();
  }
  promote_caught_up_learners();
  ProposalContext leading;
  leading.router = &router_;
  leading.proxies = &proxies_;
  leading.first_start = first_start_;
  leading.applied = proxies_.applied_by_all(state_, now());
  for (const consensus::Server& server : raft_node_->servers()) {
    leading.members.insert(server.id());
    auto peer = peers_.find(server.id());
    if (peer != peers_.end()) leading.instances[server.id()] = peer->second.record;
  }
  leading.instances[options_.id] = {options_.format, options_.fleet_file_hash};

  router_.set_applied_by_all_proxies(leading.applied);
  Nanos since = elapsed();
  std::shared_ptr<const routing::PublishedSnapshot> next = router_.step(now(), state_.time() + since);
  leading.next = next.get();
  leading.format = format_of_all();
  Decision decision = build_proposal(state_, leading);
  if (section_ && leading.format >= kMaintenanceFormat && state_.epoch().number > 0 &&
      decision.begin_shards() == 0)
    section_->append_steps(view(state_.time() + since, leading.applied), decision);
  if (!has_changes(decision) && now() - proposed_at_ < options_.time_entry_interval) return;
  decision.set_elapsed_ns(since);
  propose(std::move(decision));
}

void ControlReplica::propose(Decision decision) {
  decision.set_proposer(options_.id);
  decision.set_term(raft_node_->term());
  decision.set_basis(state_.epoch().number);
  proposed_at_ = now();
  std::uint64_t number = pending_proposal_ = ++proposals_;
  std::uint64_t basis = state_.epoch().number;
  bool begins = decision.begin_shards() > 0;
  raft_node_->propose(decision.SerializeAsString(), [this, number, basis, begins](bool agreed) {
    if (pending_proposal_ != number) return;
    pending_proposal_ = 0;
    bool taken = agreed && state_.epoch().number == basis + 1;
    if (agreed && !taken) ++invalid_proposals_;
    // What the router has concluded beyond what is agreed is given up.
    if (!taken || begins) leading_ = false;
    if (raft_node_->ready() && !leading_) adopt_agreed_state();
  });
}

bool ControlReplica::apply(std::uint64_t, std::string_view entry) {
  ApplyResult verdict = state_.apply(entry);
  if (verdict == ApplyResult::kUnknownFormat) return false;
  if (verdict != ApplyResult::kApplied) {
    log_(std::string("a decision is refused: ") + name_of(verdict) + ", epoch " +
         std::to_string(state_.epoch().number));
    return true;
  }
  decision_applied();
  return true;
}

bool ControlReplica::restore(std::string_view snapshot) {
  if (!state_.restore(snapshot)) return false;
  decision_applied();
  return true;
}

void ControlReplica::decision_applied() {
  applied_at_ = now();
  changed_ = true;
  highest_applied_ = std::max(highest_applied_, state_.epoch().number);
  router_.set_out_for_maintenance(state_.maintenance().out_for_maintenance());
  if (state_.published() == 0 || (published_ && published_->number >= state_.published())) return;
  std::optional<routing::Snapshot> snapshot = routing_state::from_proto(state_.snapshot());
  if (!snapshot) return;
  published_ = std::make_shared<const routing::PublishedSnapshot>(
      routing::PublishedSnapshot{.number = state_.published(), .snapshot = std::move(*snapshot)});
}

void ControlReplica::update_fleet(fleet::Fleet fleet, std::uint64_t settings) {
  options_.fleet_file_hash = settings;
  router_.update_fleet(std::move(fleet), now());
}

}  // namespace myrtlecroft::agreement
