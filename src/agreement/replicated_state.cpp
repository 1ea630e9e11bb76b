#include "agreement/replicated_state.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace myrtlecroft::agreement {
namespace {

using routing::Shard;
using routing::ShardState;

struct ShardRule {
  ShardState state;
  ShardTransition step;
  ShardState next;
};

constexpr ShardRule kShardRules[] = {
    {ShardState::kOwned, STEP_SET_INCARNATION, ShardState::kOwned},
    {ShardState::kOwned, STEP_CLOSE, ShardState::kClosing},
    {ShardState::kClosing, STEP_REOPEN, ShardState::kOwned},
    {ShardState::kClosing, STEP_QUARANTINE, ShardState::kQuarantined},
    {ShardState::kQuarantined, STEP_REOPEN, ShardState::kOwned},
    {ShardState::kQuarantined, STEP_ASSIGN, ShardState::kOwned},
};

constexpr std::uint32_t kMaxShards = 1 << 12;

}  // namespace

const char* name_of(ApplyResult result) {
  constexpr const char* kNames[] = {"taken",   "stale basis", "stale term", "time",       "shards",
                                    "picture", "outings",     "proxies",    "unreadable", "newer"};
  return kNames[static_cast<std::size_t>(result)];
}

ApplyResult ReplicatedState::apply(std::string_view entry) {
  Decision decision;
  if (!decision.ParseFromArray(entry.data(), static_cast<int>(entry.size()))) {
    ++rejected_entries_;
    return ApplyResult::kMalformed;
  }
  return apply(decision);
}

ApplyResult ReplicatedState::apply(const Decision& decision) {
  if (decision.format() > max_format_) return ApplyResult::kUnknownFormat;
  ReplicatedState next = *this;
  ApplyResult result = next.check_and_apply(decision);
  if (result == ApplyResult::kApplied) {
    *this = std::move(next);
  } else {
    ++rejected_entries_;
  }
  return result;
}

ApplyResult ReplicatedState::check_and_apply(const Decision& decision) {
  if (decision.term() < epoch_.term) return ApplyResult::kStaleTerm;
  if (decision.basis() != epoch_.number) return ApplyResult::kStaleBasis;
  if (decision.elapsed_ns() < 0 || decision.elapsed_ns() > kMaxElapsed) return ApplyResult::kInvalidTime;
  epoch_ = {decision.term(), epoch_.number + 1};
  format_ = std::max(format_, decision.format());
  time_ += decision.elapsed_ns();
  // A new window also applies to shards in quarantine: the reason for the former one is gone.
  if (decision.window_ns() > 0) window_ = decision.window_ns();
  if (decision.forget_proxies_ns() > 0) disconnected_proxy_expiry_ = decision.forget_proxies_ns();
  apply_servers(decision);
  if (!apply_shards(decision)) return ApplyResult::kInvalidShards;
  if (!apply_snapshot(decision)) return ApplyResult::kInvalidSnapshot;
  if (!apply_proxies(decision)) return ApplyResult::kInvalidProxies;
  if (!apply_maintenance(decision)) return ApplyResult::kInvalidMaintenance;
  for (const InstanceRecord& record : decision.instances())
    replicas_[record.id()] = {record.format(), record.settings()};
  for (std::uint64_t id : decision.instances_gone()) replicas_.erase(id);
  return ApplyResult::kApplied;
}

void ReplicatedState::apply_servers(const Decision& decision) {
  bool new_incarnations = std::any_of(decision.nodes().begin(), decision.nodes().end(),
                                      [&](const routing_state::PersistedNode& node) {
                                        auto known = nodes_.find(node.name());
                                        return known == nodes_.end() || known->second.life() != node.life();
                                      });
  if (new_incarnations || decision.begin_shards() > 0 || decision.shards_size() > 0)
    assignments_epoch_ = epoch_;
  for (const routing_state::PersistedNode& node : decision.nodes()) nodes_[node.name()] = node;
  for (const std::string& name : decision.nodes_gone()) nodes_.erase(name);
}

bool ReplicatedState::apply_shards(const Decision& decision) {
  if (decision.begin_shards() > kMaxShards) return false;
  if (decision.begin_shards() > 0) {
    // The former owners are unknown, except at the first start, where no key was ever run.
    if (decision.first_start() && epoch_.number != 1) return false;
    Shard unknown;
    unknown.state = decision.first_start() ? ShardState::kQuarantined : ShardState::kClosing;
    unknown.since = time_;
    shards_.assign(decision.begin_shards(), unknown);
  }
  return std::all_of(decision.shards().begin(), decision.shards().end(),
                     [&](const ShardStep& step) { return apply_shard_step(step, decision); });
}

bool ReplicatedState::apply_snapshot(const Decision& decision) {
  if (decision.has_picture()) {
    if (decision.picture().number() != snapshot_->number() + 1) return false;
    if (!matches_committed_owners(decision.picture())) return false;
    snapshot_ = std::make_shared<const routing_state::Snapshot>(decision.picture());
  }
  // Closing shards that are closed in the snapshot for the first time in this publication.
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    Shard& shard = shards_[index];
    bool published = index < static_cast<std::size_t>(snapshot_->shards_size());
    if (shard.state == ShardState::kClosing && shard.closed_in == 0 && published &&
        snapshot_->shards(static_cast<int>(index)) == routing::kClosed) {
      shard.closed_in = snapshot_->number();
    }
  }
  return true;
}

bool ReplicatedState::apply_proxies(const Decision& decision) {
  for (const std::string& id : decision.proxies_here()) proxies_[id] = kProxyConnected;
  for (const std::string& id : decision.proxies_gone()) {
    auto found = proxies_.find(id);
    if (found == proxies_.end()) return false;
    if (found->second == kProxyConnected) found->second = time_;
  }
  // Forgets expired proxies by replicated time, so that every replica forgets them with the same decision.
  std::size_t forgotten = std::erase_if(proxies_, [&](const auto& proxy) {
    return proxy.second != kProxyConnected && disconnected_proxy_expiry_ > 0 &&
           time_ - proxy.second >= disconnected_proxy_expiry_;
  });
  if (decision.proxies_here_size() > 0 || decision.proxies_gone_size() > 0 || forgotten > 0)
    proxies_epoch_ = epoch_;
  return true;
}

bool ReplicatedState::apply_maintenance(const Decision& decision) {
  if (MaintenanceState::has_changes(decision) && decision.format() < kMaintenanceFormat) return false;
  if (!maintenance_.apply(decision, {nodes_, *snapshot_, decision.applied(), time_, epoch_.number}))
    return false;
  if (maintenance_.orders_changed()) assignments_epoch_ = epoch_;
  return true;
}

bool ReplicatedState::apply_shard_step(const ShardStep& step, const Decision& decision) {
  if (step.shard() >= shards_.size()) return false;
  Shard& shard = shards_[step.shard()];
  for (const ShardRule& rule : kShardRules) {
    if (rule.state != shard.state || rule.step != step.step()) continue;
    if (!update_shard(step, decision, shard)) return false;
    if (rule.step == STEP_SET_INCARNATION) return true;  // `since` keeps the time when the owner was assigned
    shard.state = rule.next;
    shard.since = time_;
    return true;
  }
  return false;
}

bool ReplicatedState::update_shard(const ShardStep& step, const Decision& decision, Shard& shard) const {
  switch (step.step()) {
    case STEP_SET_INCARNATION:
      if (shard.incarnation != 0 || step.life() == 0) return false;
      shard.incarnation = step.life();
      return true;
    case STEP_CLOSE:
      shard.closed_in = 0;
      shard.migrating = step.moves();
      return true;
    case STEP_REOPEN:
      // The owner may run its keys again: no other server ran them meanwhile.
      if (shard.owner.empty() || shard.migrating) return false;
      if (step.owner() != shard.owner || step.life() != shard.incarnation) return false;
      shard.closed_in = 0;
      return true;
    case STEP_QUARANTINE:
      return shard.closed_in != 0 && decision.applied() >= shard.closed_in;
    case STEP_ASSIGN: {
      bool first = epoch_.number == 1 && decision.first_start();
      if (step.owner().empty() || (!first && time_ - shard.since < window_)) return false;
      shard.owner = step.owner();
      shard.incarnation = step.life();
      shard.closed_in = 0;
      shard.migrating = false;
      return true;
    }
    default:
      return false;
  }
}

bool ReplicatedState::matches_committed_owners(const routing_state::Snapshot& snapshot) const {
  if (static_cast<std::size_t>(snapshot.shards_size()) != shards_.size()) return false;
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    int owner = snapshot.shards(static_cast<int>(index));
    if (owner == routing::kClosed) continue;
    if (owner < 0 || owner >= snapshot.nodes_size()) return false;
    if (shards_[index].state != ShardState::kOwned || shards_[index].owner != snapshot.nodes(owner).name())
      return false;
  }
  return true;
}

std::string ReplicatedState::image() const {
  StateImage out;
  out.set_format(format_);
  out.set_term(epoch_.term);
  out.set_number(epoch_.number);
  out.set_owners_term(assignments_epoch_.term);
  out.set_owners_number(assignments_epoch_.number);
  out.set_time_ns(time_);
  out.set_window_ns(window_);
  out.set_forget_proxies_ns(disconnected_proxy_expiry_);
  for (const auto& [name, node] : nodes_) *out.add_nodes() = node;
  for (const Shard& shard : shards_) {
    ShardRecord& to = *out.add_shards();
    to.set_state(static_cast<std::uint32_t>(shard.state));
    to.set_owner(shard.owner);
    to.set_life(shard.incarnation);
    to.set_since_ns(shard.since);
    to.set_closed_in(shard.closed_in);
    to.set_moves(shard.migrating);
  }
  *out.mutable_picture() = *snapshot_;
  for (const auto& [id, disconnected_since] : proxies_) {
    out.add_proxies()->set_id(id);
    out.mutable_proxies()->rbegin()->set_gone_since_ns(disconnected_since);
  }
  if (format_ >= kMaintenanceFormat) maintenance_.write_image(*out.mutable_outings());
  for (const auto& [id, replica] : replicas_) {
    InstanceRecord& to = *out.add_instances();
    to.set_id(id);
    to.set_format(replica.format);
    to.set_settings(replica.settings);
  }
  return out.SerializeAsString();
}

bool ReplicatedState::restore(std::string_view bytes) {
  StateImage in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.format() > max_format_)
    return false;
  ReplicatedState out(max_format_);
  out.format_ = std::max(1u, in.format());
  out.epoch_ = {in.term(), in.number()};
  out.proxies_epoch_ = out.epoch_;
  out.assignments_epoch_ = {in.owners_term(), in.owners_number()};
  out.time_ = in.time_ns();
  out.window_ = in.window_ns();
  out.disconnected_proxy_expiry_ = in.forget_proxies_ns();
  for (const routing_state::PersistedNode& node : in.nodes()) out.nodes_[node.name()] = node;
  for (const ShardRecord& shard : in.shards()) {
    if (shard.state() > static_cast<std::uint32_t>(ShardState::kQuarantined)) return false;
    out.shards_.push_back({.state = static_cast<ShardState>(shard.state()),
                           .owner = shard.owner(),
                           .incarnation = shard.life(),
                           .since = shard.since_ns(),
                           .closed_in = shard.closed_in(),
                           .migrating = shard.moves()});
  }
  out.snapshot_ = std::make_shared<const routing_state::Snapshot>(in.picture());
  for (const ProxyState& proxy : in.proxies()) out.proxies_[proxy.id()] = proxy.gone_since_ns();
  if (!out.maintenance_.restore(in.outings())) return false;
  for (const InstanceRecord& record : in.instances())
    out.replicas_[record.id()] = {record.format(), record.settings()};
  out.rejected_entries_ = rejected_entries_;
  *this = std::move(out);
  return true;
}

std::size_t ReplicatedState::closed_shards() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.state != ShardState::kOwned; }));
}

std::uint64_t ReplicatedState::digest() const {
  std::string bytes = image();
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace myrtlecroft::agreement
