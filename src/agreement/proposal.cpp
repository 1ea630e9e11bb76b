#include "agreement/proposal.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "routing_state/saved_state.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::agreement {
namespace {

using routing::Shard;
using routing::ShardState;

// Smaller changes of a weight are not proposed: the committed weight is only what a new leader starts from.
constexpr double kMinWeightChange = 0.05;

// The step that leads from one state of a shard to another; STEP_NONE where there is none.
ShardTransition step_between(const Shard& from, const Shard& to) {
  if (from.state == to.state) {
    return to.state == ShardState::kOwned && from.owner == to.owner && from.incarnation == 0 &&
                   to.incarnation != 0
               ? STEP_SET_INCARNATION
               : STEP_NONE;
  }
  switch (to.state) {
    case ShardState::kClosing:
      return STEP_CLOSE;
    case ShardState::kQuarantined:
      return STEP_QUARANTINE;
    case ShardState::kOwned:
      return from.owner == to.owner && from.incarnation == to.incarnation && !from.migrating ? STEP_REOPEN
                                                                                             : STEP_ASSIGN;
  }
  return STEP_NONE;
}

void propose_shards(const ReplicatedState& committed, const ProposalContext& context, Decision& out) {
  const std::vector<Shard>& target = context.router->shards().all();
  bool is_initial = committed.shards().size() != target.size();
  if (is_initial) {
    out.set_begin_shards(static_cast<std::uint32_t>(target.size()));
    out.set_first_start(context.first_start && committed.epoch().number == 0);
    if (!out.first_start()) return;  // owners are assigned by later decisions
  }
  for (std::size_t index = 0; index < target.size(); ++index) {
    ShardTransition step = is_initial ? (target[index].owner.empty() ? STEP_NONE : STEP_ASSIGN)
                                      : step_between(committed.shards()[index], target[index]);
    if (step == STEP_NONE) continue;
    ShardStep& to = *out.add_shards();
    to.set_shard(static_cast<std::uint32_t>(index));
    to.set_step(step);
    to.set_owner(target[index].owner);
    to.set_life(target[index].incarnation);
    to.set_moves(target[index].migrating);
  }
}

void propose_servers(const ReplicatedState& committed, const ProposalContext& context, Decision& out) {
  const routing::ServerRegistry& servers = context.router->registry();
  for (const routing::ServerStatus& server : servers.all()) {
    auto known = committed.nodes().find(server.node.name);
    const char* state = routing_state::stored_name(server.state);
    bool same = known != committed.nodes().end() && known->second.state() == state &&
                known->second.life() == server.incarnation && known->second.flaps() == server.flaps &&
                (known->second.version() == server.version || context.format < kMaintenanceFormat) &&
                std::abs(known->second.weight() - server.weight) < kMinWeightChange;
    if (same) continue;
    *out.add_nodes() = routing_state::to_proto(routing::PersistedState::Node{
        server.node.name, server.state, server.incarnation, server.weight, server.flaps,
        context.format < kMaintenanceFormat ? 0 : server.version});
  }
  for (const auto& [name, node] : committed.nodes()) {
    if (!servers.server(name)) out.add_nodes_gone(name);
  }
}

// Merges the two sorted lists in one pass.
void propose_proxies(const ReplicatedState& committed, const std::set<std::string>& connected,
                     Decision& out) {
  auto known = committed.proxies().begin();
  const auto end = committed.proxies().end();
  auto advance = [&] {
    if (known->second == kProxyConnected) out.add_proxies_gone(known->first);
    ++known;
  };
  for (const std::string& id : connected) {
    while (known != end && known->first < id) advance();
    bool same = known != end && known->first == id;
    if (!same || known->second != kProxyConnected) out.add_proxies_here(id);
    if (same) ++known;
  }
  while (known != end) advance();
}

bool have_same_statuses(const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& first,
                        const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](const consensus::ProxyStatus& left, const consensus::ProxyStatus& right) {
                      return left.id() == right.id() && left.applied() == right.applied() &&
                             left.here() == right.here();
                    });
}

}  // namespace

void ProxyRegistry::update(consensus::ReplicaId by,
                           const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& proxies,
                           Nanos now) {
  auto before = by_replica_.find(by);
  if (before != by_replica_.end() && have_same_statuses(before->second.statuses, proxies))
    return refresh(by, now);
  ++revision_;
  ReceivedList next{.received_at = now, .statuses = proxies, .proxies = {}};
  for (const consensus::ProxyStatus& proxy : proxies) next.proxies[proxy.id()] = proxy;
  for (const auto& [id, previous] : by_replica_[by].proxies) {
    auto found = next.proxies.find(id);
    if (previous.here() && (found == next.proxies.end() || !found->second.here()))
      last_applied_[id] = previous.applied();
  }
  by_replica_[by] = std::move(next);
}

ProxyRegistry::Basis ProxyRegistry::basis(const ReplicatedState& committed, Nanos now) const {
  Basis out{.revision = revision_, .proxies_epoch = committed.proxies_epoch(), .fresh = {}};
  for (const auto& [replica, received] : by_replica_) {
    if (now - received.received_at <= fresh_for_) out.fresh.push_back(replica);
  }
  return out;
}

std::uint64_t ProxyRegistry::applied_by_all(const ReplicatedState& committed, Nanos now) {
  Basis current = basis(committed, now);
  if (current != min_basis_) {
    min_applied_ = min_applied(committed, now);
    min_basis_ = std::move(current);
  }
  return std::min(committed.published(), min_applied_);
}

std::uint64_t ProxyRegistry::min_applied(const ReplicatedState& committed, Nanos now) const {
  std::uint64_t out = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [id, disconnected_since] : committed.proxies()) {
    // The minimum over the replicas that list the proxy; older lists count only where no fresh one does.
    std::optional<std::uint64_t> fresh;
    std::optional<std::uint64_t> old;
    for (const auto& [replica, received] : by_replica_) {
      auto found = received.proxies.find(id);
      if (found == received.proxies.end() || !found->second.here()) continue;
      std::optional<std::uint64_t>& min = now - received.received_at <= fresh_for_ ? fresh : old;
      min = min ? std::min(*min, found->second.applied()) : found->second.applied();
    }
    auto last = last_applied_.find(id);
    std::uint64_t last_known = last == last_applied_.end() ? 0 : last->second;
    out = std::min(out, fresh ? *fresh : old ? *old : last_known);
  }
  return out;
}

const std::set<std::string>& ProxyRegistry::connected() {
  if (connected_revision_ == revision_) return connected_;
  connected_revision_ = revision_;
  connected_.clear();
  for (const auto& [replica, received] : by_replica_) {
    for (const auto& [id, proxy] : received.proxies) {
      if (proxy.here()) connected_.insert(id);
    }
  }
  return connected_;
}

Decision build_proposal(const ReplicatedState& committed, const ProposalContext& context) {
  Decision out;
  out.set_format(context.format);
  const fleet::Fleet& fleet = context.router->fleet();
  Nanos window = context.router->quarantine();
  if (window != committed.window()) out.set_window_ns(window);
  if (fleet.bounds.disconnected_proxy_expiry != committed.disconnected_proxy_expiry())
    out.set_forget_proxies_ns(fleet.bounds.disconnected_proxy_expiry);
  propose_servers(committed, context, out);
  propose_shards(committed, context, out);
  out.set_applied(context.applied);
  bool owners_unknown = out.begin_shards() > 0 && !out.first_start();
  if (context.next && !owners_unknown) {
    *out.mutable_picture() = routing_state::to_proto(context.next->snapshot);
    out.mutable_picture()->set_number(context.next->number);
  }
  propose_proxies(committed, context.proxies->connected(), out);
  for (const auto& [id, reported] : context.replicas) {
    auto known = committed.instances().find(id);
    if (known != committed.instances().end() && known->second == reported) continue;
    InstanceRecord& record = *out.add_instances();
    record.set_id(id);
    record.set_format(reported.format);
    record.set_settings(reported.settings);
  }
  for (const auto& [id, known] : committed.instances()) {
    if (!context.members.contains(id)) out.add_instances_gone(id);
  }
  return out;
}

bool has_changes(const Decision& decision) {
  return decision.begin_shards() > 0 || decision.window_ns() > 0 || decision.forget_proxies_ns() > 0 ||
         decision.nodes_size() > 0 || decision.nodes_gone_size() > 0 || decision.shards_size() > 0 ||
         decision.has_picture() || decision.proxies_here_size() > 0 || decision.proxies_gone_size() > 0 ||
         MaintenanceState::has_changes(decision) || decision.instances_size() > 0 ||
         decision.instances_gone_size() > 0;
}

}  // namespace myrtlecroft::agreement
