#include "agreement/control_replica.h"

#include <algorithm>
#include <utility>

#include "routing_state/saved_state.h"

namespace myrtlecroft::agreement {
namespace {

constexpr Nanos kRejoinEvery = 500 * kMs;             // after a failure of the disk
constexpr Nanos kMajorityConfirmsAfter = 3000 * kMs;  // where not all others speak, a majority does
constexpr Nanos kMaxBelieved = 600 * kMs;  // of the time between two decisions: windows are longer by as much
constexpr Nanos kPassEvery = 200 * kMs;    // a command, until its result is agreed
constexpr std::size_t kMaxCommands = 16;   // that wait
constexpr std::uint64_t kCaughtUp = 3;     // decisions that a new instance may lack when it is given its vote

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
  router_.set_quarantine({.min = 3 * options_.lease_duration, .clock_margin = kMaxBelieved});
  join();
}

// What is out ends with the member, and asks nothing of us any more.
ControlReplica::~ControlReplica() {
  asked_ = 0;
  raft_node_.reset();
}

void ControlReplica::join() {
  raft_node_ = std::make_unique<consensus::RaftNode>(
      options_.id, options_.address, options_.raft, storage_, transport_, *this,
      [this] { return static_cast<std::uint64_t>(clock_() / kMs); }, random_());
}

void ControlReplica::start() {
  raft_node_->start();
  applied_at_ = started_at_ = now();
  // One that is alone, new, or only back after a failure of its disk has nobody to ask, or nothing to be
  // asked about.
  storage_verified_ = storage_verified_ || raft_node_->voters() < 2 || raft_node_->last_index() == 0 ||
                      !raft_node_->is_voter(options_.id);
}

// A folder that was put back from an older copy lacks entries which this instance said it had, and which the
// fleet may have agreed on by its word. The others remember: until they have spoken, it takes no part; where
// they know of more, it never does. Could keep a sound instance waiting for some seconds where another is
// gone. Not found where those who remember are gone or restarted at the same time: that is a second fault at
// once, which three instances don't stand.
void ControlReplica::prove(const consensus::PeerMessage& message) {
  if (!raft_node_->is_voter(message.from())) return;
  if (message.word().your_kept() > raft_node_->last_index()) {
    if (fault_.empty()) {
      fault_ = "this folder is older than what instance " + std::to_string(message.from()) +
               " heard from here: let it out, and begin a new one under a new id";
      log_(fault_);
    }
    return;
  }
  confirmed_by_.insert(message.from());
  std::size_t others = raft_node_->voters() - 1;
  bool enough = confirmed_by_.size() >= others ||
                (2 * confirmed_by_.size() >= others && now() - started_at_ >= kMajorityConfirmsAfter);
  storage_verified_ = enough && fault_.empty();
}

// After the disk has failed: what is there is read again, and the log is followed from there. Until it has
// caught up with what was served here already, nothing older is.
void ControlReplica::rejoin() {
  rejoin_at_ = now() + kRejoinEvery;
  if (!storage_.is_writable()) return;
  leading_ = false;
  asked_ = 0;
  changing_ = false;
  state_ = ReplicatedState(options_.format);
  caught_up_at_ = target_at_ = 0;
  raft_node_.reset();
  join();
  log_("the disk is well: back in the log");
  start();
}

bool ControlReplica::tick() {
  if (storage_verified_) raft_node_->tick();
  if (storage_verified_ && raft_node_->applied_index() <= raft_node_->stored_index())
    stored_decision_ = raft_node_->applied_index();
  follow_target();
  if (!raft_node_->fault().empty() && fault_.empty()) {
    fault_ = raft_node_->fault();
    log_("agreement ends here: " + fault_);
  }
  if (raft_node_->disk_failed() && now() >= rejoin_at_) {
    if (rejoin_at_ == 0)
      log_("the disk fails: no part in votes until it is well; the last agreed set is served on");
    rejoin();
  }
  if (now() - said_at_ >= options_.heartbeat_interval) say();
  pass_commands();
  if (!raft_node_->ready()) {
    changing_ = false;
    if (leading_) log_("no longer deciding, term " + std::to_string(raft_node_->term()));
    leading_ = false;
    asked_ = 0;
  }
  if (now() >= due_at_) {
    due_at_ = now() + options_.decision_interval;
    if (section_) section_->observe(view(state_.time(), 0));
    if (raft_node_->ready() && has_quorum()) {
      decide();
    } else {
      router_.observe(now());
    }
  }
  bool touch = has_quorum();
  if (touch != was_in_touch_) {
    log_(touch ? "in touch with a majority, epoch " + std::to_string(state_.epoch().number)
               : "out of touch with a majority: the last agreed set is served on, nothing is opened or "
                 "permitted; epoch " +
                     std::to_string(state_.epoch().number));
    was_in_touch_ = touch;
  }
  return std::exchange(new_, false);
}

bool ControlReplica::received(const consensus::PeerMessage& message) {
  // One whose fleet is another's, or that was never let in or is let in no more, is not listened to. An
  // instance that is new itself knows nobody yet.
  bool known = raft_node_->servers().empty() || raft_node_->role_of(message.from());
  if (message.fleet() != options_.raft.fleet || message.to() != options_.id ||
      message.from() == options_.id || !known)
    return false;
  if (message.what_case() == consensus::PeerMessage::kWord) {
    hear(message);
  } else if (message.what_case() == consensus::PeerMessage::kCommand) {
    if (raft_node_->is_leader() && commands_.size() < kMaxCommands)
      commands_[message.command().id()] = message.command().text();
  } else if (storage_verified_) {
    raft_node_->received(message);
  }
  return std::exchange(new_, false);
}

consensus::PeerMessage ControlReplica::message_to(consensus::InstanceId id) const {
  consensus::PeerMessage out;
  out.set_fleet(options_.raft.fleet);
  out.set_from(options_.id);
  out.set_to(id);
  out.set_address(options_.address);
  return out;
}

void ControlReplica::say() {
  said_at_ = now();
  for (const consensus::Server& server : raft_node_->servers()) {
    if (server.id() == options_.id) continue;
    consensus::PeerMessage message = message_to(server.id());
    consensus::Heartbeat& word = *message.mutable_word();
    lease_.fill_stamps(server.id(), raft_node_->term(), raft_node_->leader(), now(), word);
    word.set_confirmed(raft_node_->is_leader() && has_quorum());
    word.set_applied(state_.epoch().number);
    word.set_kept(stored_decision_);
    word.set_your_kept(peer_status(server.id()).stored);
    word.set_format(options_.format);
    word.set_settings(options_.settings_hash);
    *word.mutable_proxies() = local_proxies_;
    transport_.send(message, server.address());
  }
}

void ControlReplica::hear(const consensus::PeerMessage& message) {
  const consensus::Heartbeat& word = message.word();
  if (!storage_verified_) prove(message);
  if (raft_node_->is_voter(message.from()))
    lease_.receive(message.from(), word, raft_node_->term(), raft_node_->leader());
  if (target_at_ == 0 && message.from() == raft_node_->leader() && word.term() == raft_node_->term() &&
      word.confirmed()) {
    target_ = word.applied();
    target_at_ = static_cast<Nanos>(word.your_stamp());
  }
  follow_target();
  proxies_.update(message.from(), word.proxies(), now());
  PeerStatus& said = peers_[message.from()];
  said = {word.applied(), now(), std::max(said.stored, word.kept()), {word.format(), word.settings()}};
}

Nanos ControlReplica::lease_remaining() const {
  if (raft_node_->disk_failed() || state_.epoch().number < seen_) return 0;
  Nanos touch = lease_.remaining(raft_node_->term(), raft_node_->leader(), raft_node_->voters(), now());
  // A new leader, or one back from the dead, may not have applied all that was agreed before; nor may whoever
  // follows.
  if (raft_node_->is_leader()) return raft_node_->ready() ? touch : 0;
  return caught_up_at_ == 0
             ? 0
             : std::min(touch, std::max<Nanos>(0, options_.lease_duration - (now() - caught_up_at_)));
}

// Heard of is not yet applied: until what the leader had is here too, this is not the fleet's last word.
void ControlReplica::follow_target() {
  if (target_at_ == 0 || state_.epoch().number < target_) return;
  caught_up_at_ = target_at_;
  target_at_ = 0;
}

void ControlReplica::set_local_proxies(google::protobuf::RepeatedPtrField<consensus::ProxyStatus> here) {
  local_proxies_ = std::move(here);
  proxies_.update(options_.id, local_proxies_, now());
}

bool ControlReplica::may_serve(const std::string& proxy) const {
  auto found = state_.proxies().find(proxy);
  return found != state_.proxies().end() && found->second == kConnected;
}

// ---- Deciding

// Since the last decision was applied, as far as is believed. A clock that leaps while a shard cools would
// shorten its window by the whole of what one entry may say; a leader that is well says something twice a
// second, and where it says less than has passed, windows are only longer.
Nanos ControlReplica::elapsed() const { return std::clamp<Nanos>(now() - applied_at_, 0, kMaxBelieved); }

// A new leader goes on from what is agreed; so does one whose proposal came to nothing.
void ControlReplica::take_up() {
  leading_ = true;
  asked_ = 0;
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

DecisionSection::View ControlReplica::view(Nanos time, std::uint64_t applied) const {
  return {state_, router_, commands_, applied, time, now()};
}

std::uint64_t ControlReplica::submit_command(const std::string& text) {
  std::uint64_t id = std::uint64_t{random_()} << 32 | random_();
  own_commands_[id] = text;
  passed_at_ = 0;
  decide_soon();
  return id;
}

// Sent again until its result is agreed: a leader that dies with it has done nothing, or has it agreed.
void ControlReplica::pass_commands() {
  auto known = [&](const auto& one) { return state_.maintenance().result(one.first) != nullptr; };
  std::erase_if(own_commands_, known);
  std::erase_if(commands_, known);
  if (!raft_node_->is_leader()) commands_.clear();
  if (own_commands_.empty() || now() - passed_at_ < kPassEvery) return;
  passed_at_ = now();
  if (raft_node_->is_leader()) commands_.insert(own_commands_.begin(), own_commands_.end());
  for (const consensus::Server& server : raft_node_->servers()) {
    if (server.id() != raft_node_->leader() || server.id() == options_.id) continue;
    for (const auto& [id, text] : own_commands_) {
      consensus::PeerMessage message = message_to(server.id());
      message.mutable_command()->set_id(id);
      message.mutable_command()->set_text(text);
      transport_.send(message, server.address());
    }
  }
}

void ControlReplica::decide() {
  if (asked_ != 0) return;  // one at a time: each is drawn from the one before
  if (!leading_) {
    log_("deciding, term " + std::to_string(raft_node_->term()) + ", epoch " +
         std::to_string(state_.epoch().number));
    take_up();
  }
  promote_who_caught_up();
  ProposalContext leading;
  leading.router = &router_;
  leading.proxies = &proxies_;
  leading.first_start = first_start_;
  leading.applied = proxies_.applied_by_all(state_, now());
  for (const consensus::Server& server : raft_node_->servers()) {
    leading.members.insert(server.id());
    auto said = peers_.find(server.id());
    if (said != peers_.end()) leading.instances[server.id()] = said->second.record;
  }
  leading.instances[options_.id] = {options_.format, options_.settings_hash};

  router_.all_proxies_applied(leading.applied);
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

std::string ControlReplica::add_member(consensus::InstanceId id, const std::string& address) {
  if (!raft_node_->ready()) return "this instance does not lead";
  if (raft_node_->role_of(id))
    return "instance " + std::to_string(id) + " belongs already; a replaced one gets a new id";
  if (changing_) return "another change of who belongs is under way";
  changing_ = true;
  log_("instance " + std::to_string(id) + " at " + address + " is let in; it votes once it has caught up");
  raft_node_->add(id, address, [this](bool) { changing_ = false; });
  return "";
}

std::string ControlReplica::remove_member(consensus::InstanceId id) {
  if (!raft_node_->ready()) return "this instance does not lead";
  if (!raft_node_->role_of(id)) return "no instance " + std::to_string(id) + " belongs";
  if (id == options_.id) return "it leads: hand on first";
  if (changing_) return "another change of who belongs is under way";
  changing_ = true;
  log_("instance " + std::to_string(id) + " is let out for good");
  raft_node_->remove(id, [this, id](bool good) {
    changing_ = false;
    if (!good) return;
    lease_.remove(id);
    proxies_.remove(id);
    peers_.erase(id);
  });
  return "";
}

void ControlReplica::promote_who_caught_up() {
  if (changing_) return;
  for (const consensus::Server& server : raft_node_->servers()) {
    PeerStatus said = peer_status(server.id());
    bool caught_up = said.received_at > 0 && now() - said.received_at < options_.lease_duration &&
                     said.applied + kCaughtUp >= state_.epoch().number;
    if (server.role() == RAFT_VOTER || !caught_up) continue;
    changing_ = true;
    std::string name = "instance " + std::to_string(server.id());
    raft_node_->promote(server.id(), [this, name](bool good) {
      changing_ = false;
      if (good) log_(name + " has caught up and votes");
    });
    return;
  }
}

void ControlReplica::propose(Decision decision) {
  decision.set_proposer(options_.id);
  decision.set_term(raft_node_->term());
  decision.set_basis(state_.epoch().number);
  proposed_at_ = now();
  std::uint64_t number = asked_ = ++asks_;
  std::uint64_t basis = state_.epoch().number;
  bool begins = decision.begin_shards() > 0;
  raft_node_->propose(decision.SerializeAsString(), [this, number, basis, begins](bool agreed) {
    if (asked_ != number) return;
    asked_ = 0;
    bool taken = agreed && state_.epoch().number == basis + 1;
    if (agreed && !taken) ++invalid_proposals_;
    // What the router has concluded beyond what is agreed is given up.
    if (!taken || begins) leading_ = false;
    if (raft_node_->ready() && !leading_) take_up();
  });
}

// ---- What is agreed

bool ControlReplica::apply(std::uint64_t, std::string_view entry) {
  ApplyResult verdict = state_.apply(entry);
  if (verdict == ApplyResult::kUnknownFormat) return false;
  if (verdict != ApplyResult::kApplied) {
    log_(std::string("a decision is refused: ") + name_of(verdict) + ", epoch " +
         std::to_string(state_.epoch().number));
    return true;
  }
  in_force();
  return true;
}

bool ControlReplica::restore(std::string_view snapshot) {
  if (!state_.restore(snapshot)) return false;
  in_force();
  return true;
}

void ControlReplica::in_force() {
  applied_at_ = now();
  new_ = true;
  seen_ = std::max(seen_, state_.epoch().number);
  router_.set_out_for_maintenance(state_.maintenance().out_for_maintenance());
  if (state_.published() == 0 || (published_ && published_->number >= state_.published())) return;
  std::optional<routing::Snapshot> snapshot = routing_state::from_proto(state_.snapshot());
  if (!snapshot) return;
  published_ = std::make_shared<const routing::PublishedSnapshot>(
      routing::PublishedSnapshot{.number = state_.published(), .snapshot = std::move(*snapshot)});
}

// Once for each decision that reports come after, so that a report costs what its server owns.
void ControlReplica::index_owners() {
  if (owned_at_ == state_.epoch()) return;
  owned_at_ = state_.epoch();
  owned_.clear();
  for (std::size_t at = 0; at < state_.shards().size(); ++at) {
    const routing::Shard& shard = state_.shards()[at];
    if (shard.state == routing::ShardState::kOwned)
      owned_[shard.owner].push_back(static_cast<std::uint16_t>(at));
  }
}

ShardAssignment ControlReplica::assignment_for(const std::string& node) {
  ShardAssignment out;
  out.epoch = state_.owners_epoch();
  auto known = state_.nodes().find(node);
  if (known != state_.nodes().end()) out.incarnation = known->second.life();
  out.shard_digits = router_.fleet().bounds.shard_digits;
  index_owners();
  auto owned = owned_.find(node);
  if (owned != owned_.end()) {
    for (std::uint16_t at : owned->second) {
      const routing::Shard& shard = state_.shards()[at];
      if (shard.incarnation == 0 || shard.incarnation == out.incarnation) out.shards.push_back(at);
    }
  }
  const MaintenanceLease* lease = state_.maintenance().lease(node);
  if (lease && lease->phase == MaintenancePhase::kRestarting && lease->incarnation == out.incarnation)
    out.restart_as = static_cast<std::uint8_t>(lease->version);
  return out;
}

void ControlReplica::fleet_changed(fleet::Fleet fleet, std::uint64_t settings) {
  options_.settings_hash = settings;
  router_.fleet_changed(std::move(fleet), now());
}

}  // namespace myrtlecroft::agreement
