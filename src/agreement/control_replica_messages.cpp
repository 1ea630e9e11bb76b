// What a replica exchanges with the others: heartbeats, commands and messages of the log; and what follows
// from them: whether its storage is verified, its lease holds and it has caught up.
#include <algorithm>
#include <utility>

#include "agreement/control_replica.h"

namespace myrtlecroft::agreement {
namespace {

constexpr Nanos kMajorityConfirmTimeout = 3000 * kMs;  // where not all others speak, a majority does
constexpr Nanos kForwardInterval = 200 * kMs;          // a command, until its result is agreed
constexpr std::size_t kMaxCommands = 16;               // that wait

}  // namespace

// A folder that was put back from an older copy lacks entries which this instance said it had, and which the
// fleet may have agreed on by its word. The others remember: until they have spoken, it takes no part; where
// they know of more, it never does. Could keep a sound instance waiting for some seconds where another is
// gone. Not found where those who remember are gone or restarted at the same time: that is a second fault at
// once, which three instances don't stand.
void ControlReplica::verify_storage(const consensus::PeerMessage& message) {
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
  std::size_t others = raft_node_->voter_count() - 1;
  bool enough = confirmed_by_.size() >= others ||
                (2 * confirmed_by_.size() >= others && now() - started_at_ >= kMajorityConfirmTimeout);
  storage_verified_ = enough && fault_.empty();
}

bool ControlReplica::received(const consensus::PeerMessage& message) {
  // One whose fleet is another's, or that was never let in or is let in no more, is not listened to. An
  // instance that is new itself knows nobody yet.
  bool known = raft_node_->servers().empty() || raft_node_->role_of(message.from());
  if (message.fleet() != options_.raft.fleet || message.to() != options_.id ||
      message.from() == options_.id || !known)
    return false;
  if (message.what_case() == consensus::PeerMessage::kWord) {
    handle_heartbeat(message);
  } else if (message.what_case() == consensus::PeerMessage::kCommand) {
    if (raft_node_->is_leader() && commands_.size() < kMaxCommands)
      commands_[message.command().id()] = message.command().text();
  } else if (storage_verified_) {
    raft_node_->received(message);
  }
  return std::exchange(changed_, false);
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
  heartbeat_at_ = now();
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
  // A new leader, or one back from the dead, may not have applied all that was agreed before; nor may whoever
  // follows.
  if (raft_node_->is_leader()) return raft_node_->ready() ? remaining : 0;
  return caught_up_at_ == 0
             ? 0
             : std::min(remaining, std::max<Nanos>(0, options_.lease_duration - (now() - caught_up_at_)));
}

// Heard of is not yet applied: until what the leader had is here too, this is not the fleet's last word.
void ControlReplica::check_caught_up() {
  if (catch_up_stamp_ == 0 || state_.epoch().number < catch_up_target_) return;
  caught_up_at_ = catch_up_stamp_;
  catch_up_stamp_ = 0;
}

void ControlReplica::set_local_proxies(google::protobuf::RepeatedPtrField<consensus::ProxyStatus> here) {
  local_proxies_ = std::move(here);
  proxies_.update(options_.id, local_proxies_, now());
}

bool ControlReplica::may_serve(const std::string& proxy) const {
  auto found = state_.proxies().find(proxy);
  return found != state_.proxies().end() && found->second == kProxyConnected;
}

std::uint64_t ControlReplica::submit_command(const std::string& text) {
  std::uint64_t id = std::uint64_t{random_()} << 32 | random_();
  own_commands_[id] = text;
  forwarded_at_ = 0;
  request_decision();
  return id;
}

// Sent again until its result is agreed: a leader that dies with it has done nothing, or has it agreed.
void ControlReplica::forward_commands() {
  auto known = [&](const auto& one) { return state_.maintenance().result(one.first) != nullptr; };
  std::erase_if(own_commands_, known);
  std::erase_if(commands_, known);
  if (!raft_node_->is_leader()) commands_.clear();
  if (own_commands_.empty() || now() - forwarded_at_ < kForwardInterval) return;
  forwarded_at_ = now();
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

}  // namespace myrtlecroft::agreement
