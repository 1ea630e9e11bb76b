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

const char* name_of(ApplyResult verdict) {
  constexpr const char* kNames[] = {"taken",   "old basis", "old term", "time",       "shards",
                                    "picture", "outings",   "proxies",  "unreadable", "newer"};
  return kNames[static_cast<std::size_t>(verdict)];
}

ApplyResult ReplicatedState::apply(std::string_view entry) {
  Decision decision;
  if (!decision.ParseFromArray(entry.data(), static_cast<int>(entry.size()))) {
    ++refused_;
    return ApplyResult::kMalformed;
  }
  return apply(decision);
}

ApplyResult ReplicatedState::apply(const Decision& decision) {
  if (decision.format() > knows_) return ApplyResult::kUnknownFormat;
  ReplicatedState next = *this;
  ApplyResult verdict = next.check_and_apply(decision);
  if (verdict == ApplyResult::kApplied) {
    *this = std::move(next);
  } else {
    ++refused_;
  }
  return verdict;
}

ApplyResult ReplicatedState::check_and_apply(const Decision& decision) {
  if (decision.term() < epoch_.term) return ApplyResult::kStaleTerm;
  if (decision.basis() != epoch_.number) return ApplyResult::kStaleBasis;
  if (decision.elapsed_ns() < 0 || decision.elapsed_ns() > kMaxElapsed) return ApplyResult::kInvalidTime;
  epoch_ = {decision.term(), epoch_.number + 1};
  form_ = std::max(form_, decision.format());
  time_ += decision.elapsed_ns();
  // A longer window holds for shards in quarantine too; so does a shorter one, as its reason is over.
  if (decision.window_ns() > 0) window_ = decision.window_ns();
  if (decision.forget_proxies_ns() > 0) forget_proxies_ = decision.forget_proxies_ns();
  apply_servers(decision);
  if (!apply_shards(decision)) return ApplyResult::kInvalidShards;
  if (!apply_snapshot(decision)) return ApplyResult::kInvalidSnapshot;
  if (!apply_proxies(decision)) return ApplyResult::kInvalidProxies;
  if (!apply_maintenance(decision)) return ApplyResult::kInvalidMaintenance;
  for (const InstanceRecord& one : decision.instances())
    instances_[one.id()] = {one.format(), one.settings()};
  for (std::uint64_t id : decision.instances_gone()) instances_.erase(id);
  return ApplyResult::kApplied;
}

void ReplicatedState::apply_servers(const Decision& decision) {
  bool new_incarnations = std::any_of(decision.nodes().begin(), decision.nodes().end(),
                                      [&](const routing_state::PersistedNode& node) {
                                        auto known = nodes_.find(node.name());
                                        return known == nodes_.end() || known->second.life() != node.life();
                                      });
  if (new_incarnations || decision.begin_shards() > 0 || decision.shards_size() > 0) owners_epoch_ = epoch_;
  for (const routing_state::PersistedNode& node : decision.nodes()) nodes_[node.name()] = node;
  for (const std::string& name : decision.nodes_gone()) nodes_.erase(name);
}

bool ReplicatedState::apply_shards(const Decision& decision) {
  if (decision.begin_shards() > kMaxShards) return false;
  if (decision.begin_shards() > 0) {
    // Where keys ran is not known, unless nothing ever ran.
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
    if (!matches_agreed_owners(decision.picture())) return false;
    snapshot_ = std::make_shared<const routing_state::Snapshot>(decision.picture());
  }
  // A shard that is closed in the published snapshot from now on is closed in this publication.
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    Shard& shard = shards_[at];
    bool published = at < static_cast<std::size_t>(snapshot_->shards_size());
    if (shard.state == ShardState::kClosing && shard.closed_in == 0 && published &&
        snapshot_->shards(static_cast<int>(at)) == routing::kClosed) {
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
  // Forgotten by agreed time, the same on every replica.
  std::size_t forgotten = std::erase_if(proxies_, [&](const auto& one) {
    return one.second != kProxyConnected && forget_proxies_ > 0 && time_ - one.second >= forget_proxies_;
  });
  if (decision.proxies_here_size() > 0 || decision.proxies_gone_size() > 0 || forgotten > 0)
    proxies_epoch_ = epoch_;
  return true;
}

bool ReplicatedState::apply_maintenance(const Decision& decision) {
  if (MaintenanceState::has_changes(decision) && decision.format() < kMaintenanceFormat) return false;
  if (!maintenance_.apply(decision, {nodes_, *snapshot_, decision.applied(), time_, epoch_.number}))
    return false;
  if (maintenance_.orders_changed()) owners_epoch_ = epoch_;
  return true;
}

bool ReplicatedState::apply_shard_step(const ShardStep& step, const Decision& decision) {
  if (step.shard() >= shards_.size()) return false;
  Shard& shard = shards_[step.shard()];
  for (const ShardRule& rule : kShardRules) {
    if (rule.state != shard.state || rule.step != step.step()) continue;
    if (!take_shard_step(step, decision, shard)) return false;
    if (rule.step == STEP_SET_INCARNATION) return true;  // the time since when it is owned stays
    shard.state = rule.next;
    shard.since = time_;
    return true;
  }
  return false;
}

bool ReplicatedState::take_shard_step(const ShardStep& step, const Decision& decision, Shard& shard) const {
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
      // Its owner goes on with its keys: no other server ran them meanwhile.
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

bool ReplicatedState::matches_agreed_owners(const routing_state::Snapshot& snapshot) const {
  if (static_cast<std::size_t>(snapshot.shards_size()) != shards_.size()) return false;
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    int owner = snapshot.shards(static_cast<int>(at));
    if (owner == routing::kClosed) continue;
    if (owner < 0 || owner >= snapshot.nodes_size()) return false;
    if (shards_[at].state != ShardState::kOwned || shards_[at].owner != snapshot.nodes(owner).name())
      return false;
  }
  return true;
}

std::string ReplicatedState::image() const {
  StateImage out;
  out.set_format(form_);
  out.set_term(epoch_.term);
  out.set_number(epoch_.number);
  out.set_owners_term(owners_epoch_.term);
  out.set_owners_number(owners_epoch_.number);
  out.set_time_ns(time_);
  out.set_window_ns(window_);
  out.set_forget_proxies_ns(forget_proxies_);
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
  for (const auto& [id, gone_since] : proxies_) {
    out.add_proxies()->set_id(id);
    out.mutable_proxies()->rbegin()->set_gone_since_ns(gone_since);
  }
  if (form_ >= kMaintenanceFormat) maintenance_.fill(*out.mutable_outings());
  for (const auto& [id, instance] : instances_) {
    InstanceRecord& to = *out.add_instances();
    to.set_id(id);
    to.set_format(instance.format);
    to.set_settings(instance.settings);
  }
  return out.SerializeAsString();
}

bool ReplicatedState::restore(std::string_view bytes) {
  StateImage in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.format() > knows_) return false;
  ReplicatedState out(knows_);
  out.form_ = std::max(1u, in.format());
  out.epoch_ = {in.term(), in.number()};
  out.proxies_epoch_ = out.epoch_;
  out.owners_epoch_ = {in.owners_term(), in.owners_number()};
  out.time_ = in.time_ns();
  out.window_ = in.window_ns();
  out.forget_proxies_ = in.forget_proxies_ns();
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
  for (const InstanceRecord& one : in.instances()) out.instances_[one.id()] = {one.format(), one.settings()};
  out.refused_ = refused_;
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
