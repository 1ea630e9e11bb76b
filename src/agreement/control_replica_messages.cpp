// Messages between replicas: heartbeats, commands and messages of the log; and what a replica concludes from
// them: whether its storage is verified, its lease holds and it has caught up.
#include <algorithm>
#include <utility>

#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {
namespace {

// How long all other voters are awaited to confirm the storage; after that a majority suffices.
constexpr Nanos kMajorityConfirmTimeout = 3000 * kMs;
constexpr Nanos kForwardInterval = 200 * kMs;  // between sendings of a command without a committed result
constexpr std::size_t kMaxCommands = 16;       // pending commands on the leader

}  // namespace

// Detects a storage folder that was restored from an older copy. It lacks entries that this replica
// acknowledged and that may have been committed because of it. The other replicas keep in memory what it
// reported as stored: it takes no part until they have confirmed that nothing is missing, and never where
// something is. A sound replica may have to wait some seconds where another one is down. The check finds
// nothing if the replicas that know of the entries are down or were restarted at the same time: a second
// simultaneous fault, which three replicas don't tolerate.
void ControlReplica::verify_storage(const consensus::PeerMessage& message) {
  if (!raft_node_->is_voter(message.from())) return;
  if (message.word().your_kept() > raft_node_->last_index()) {
    if (fault_.empty()) {
      fault_ = "this folder is older than what replica " + std::to_string(message.from()) +
               " heard from here: remove this replica and start a new one with a new id";
      log_(fault_);
    }
    return;
  }
  confirmed_by_.insert(message.from());
  std::size_t others = raft_node_->voter_count() - 1;
  bool enough = confirmed_by_.size() >= others ||
                (2 * confirmed_by_.size() >= others && now() - started_at_ >= kMajorityConfirmTimeout);
  storage_verified_ = enough && fault_.empty();
}

bool ControlReplica::received(const consensus::PeerMessage& message) {
  // Messages of another fleet, and from replicas that are not members, are ignored. A new replica has no
  // configuration yet and accepts any sender.
  bool known = raft_node_->servers().empty() || raft_node_->role_of(message.from());
  if (message.fleet() != options_.raft.fleet || message.to() != options_.id ||
      message.from() == options_.id || !known)
    return false;
  if (message.what_case() == consensus::PeerMessage::kWord) {
    handle_heartbeat(message);
  } else if (message.what_case() == consensus::PeerMessage::kCommand) {
    if (raft_node_->is_leader() && pending_commands_.size() < kMaxCommands)
      pending_commands_[message.command().id()] = message.command().text();
  } else if (storage_verified_) {
    raft_node_->received(message);
  }
  return std::exchange(state_changed_, false);
}

consensus::PeerMessage ControlReplica::message_to(consensus::ReplicaId id) const {
  consensus::PeerMessage out;
  out.set_fleet(options_.raft.fleet);
  out.set_from(options_.id);
  out.set_to(id);
  out.set_address(options_.address);
  return out;
}

void ControlReplica::send_heartbeats() {
  last_heartbeat_at_ = now();
  for (const consensus::Server& server : raft_node_->servers()) {
    if (server.id() == options_.id) continue;
    consensus::PeerMessage message = message_to(server.id());
    consensus::Heartbeat& heartbeat = *message.mutable_word();
    lease_.fill_heartbeat(server.id(), raft_node_->term(), raft_node_->leader(), now(), heartbeat);
    heartbeat.set_confirmed(raft_node_->is_leader() && has_quorum());
    heartbeat.set_applied(state_.epoch().number);
    heartbeat.set_kept(stored_decision_);
    heartbeat.set_your_kept(peer_status(server.id()).stored);
    heartbeat.set_format(options_.format);
    heartbeat.set_settings(options_.fleet_file_hash);
    *heartbeat.mutable_proxies() = local_proxies_;
    transport_.send(message, server.address());
  }
}

void ControlReplica::handle_heartbeat(const consensus::PeerMessage& message) {
  const consensus::Heartbeat& heartbeat = message.word();
  if (!storage_verified_) verify_storage(message);
  if (raft_node_->is_voter(message.from()))
    lease_.receive(message.from(), heartbeat, raft_node_->term(), raft_node_->leader());
  if (catch_up_stamp_ == 0 && message.from() == raft_node_->leader() &&
      heartbeat.term() == raft_node_->term() && heartbeat.confirmed()) {
    catch_up_target_ = heartbeat.applied();
    catch_up_stamp_ = static_cast<Nanos>(heartbeat.your_stamp());
  }
  check_caught_up();
  proxies_.update(message.from(), heartbeat.proxies(), now());
  PeerStatus& peer = peers_[message.from()];
  peer = {heartbeat.applied(),
          now(),
          std::max(peer.stored, heartbeat.kept()),
          {heartbeat.format(), heartbeat.settings()}};
}

Nanos ControlReplica::lease_remaining() const {
  if (raft_node_->disk_failed() || state_.epoch().number < highest_applied_) return 0;
  Nanos remaining =
      lease_.remaining(raft_node_->term(), raft_node_->leader(), raft_node_->voter_count(), now());
  // A leader that is new or was paused, or a follower, may not have applied all committed entries yet.
  if (raft_node_->is_leader()) return raft_node_->ready() ? remaining : 0;
  return caught_up_at_ == 0
             ? 0
             : std::min(remaining, std::max<Nanos>(0, options_.lease_duration - (now() - caught_up_at_)));
}

// The leader's heartbeat names its last applied decision. This replica has caught up as of the heartbeat's
// stamp only once it has applied that decision too.
void ControlReplica::check_caught_up() {
  if (catch_up_stamp_ == 0 || state_.epoch().number < catch_up_target_) return;
  caught_up_at_ = catch_up_stamp_;
  catch_up_stamp_ = 0;
}

void ControlReplica::set_local_proxies(google::protobuf::RepeatedPtrField<consensus::ProxyStatus> proxies) {
  local_proxies_ = std::move(proxies);
  proxies_.update(options_.id, local_proxies_, now());
}

bool ControlReplica::may_serve(const std::string& proxy) const {
  auto found = state_.proxies().find(proxy);
  return found != state_.proxies().end() && found->second == kProxyConnected;
}

std::uint64_t ControlReplica::submit_command(const std::string& text) {
  std::uint64_t id = std::uint64_t{random_()} << 32 | random_();
  local_commands_[id] = text;
  forwarded_at_ = 0;
  request_decision();
  return id;
}

// Sends commands to the leader again until their results are committed. A leader that fails in between has
// either committed the result or not carried out the command at all.
void ControlReplica::forward_commands() {
  auto has_result = [&](const auto& one) { return state_.maintenance().result(one.first) != nullptr; };
  std::erase_if(local_commands_, has_result);
  std::erase_if(pending_commands_, has_result);
  if (!raft_node_->is_leader()) pending_commands_.clear();
  if (local_commands_.empty() || now() - forwarded_at_ < kForwardInterval) return;
  forwarded_at_ = now();
  if (raft_node_->is_leader()) pending_commands_.insert(local_commands_.begin(), local_commands_.end());
  for (const consensus::Server& server : raft_node_->servers()) {
    if (server.id() != raft_node_->leader() || server.id() == options_.id) continue;
    for (const auto& [id, text] : local_commands_) {
      consensus::PeerMessage message = message_to(server.id());
      message.mutable_command()->set_id(id);
      message.mutable_command()->set_text(text);
      transport_.send(message, server.address());
    }
  }
}

}  // namespace myrtlecroft::agreement
