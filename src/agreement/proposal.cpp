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

constexpr double kMinWeightChange = 0.05;  // it is for the next leader to start from, not to be followed

// By which step one state follows from another; none where none leads there.
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

void propose_shards(const ReplicatedState& agreed, const ProposalContext& leading, Decision& out) {
  const std::vector<Shard>& wanted = leading.router->shards().all();
  bool begins = agreed.shards().size() != wanted.size();
  if (begins) {
    out.set_begin_shards(static_cast<std::uint32_t>(wanted.size()));
    out.set_first_start(leading.first_start && agreed.epoch().number == 0);
    if (!out.first_start()) return;  // the next decision goes on from there
  }
  for (std::size_t at = 0; at < wanted.size(); ++at) {
    ShardTransition step = begins ? (wanted[at].owner.empty() ? STEP_NONE : STEP_ASSIGN)
                                  : step_between(agreed.shards()[at], wanted[at]);
    if (step == STEP_NONE) continue;
    ShardStep& to = *out.add_shards();
    to.set_shard(static_cast<std::uint32_t>(at));
    to.set_step(step);
    to.set_owner(wanted[at].owner);
    to.set_life(wanted[at].incarnation);
    to.set_moves(wanted[at].migrating);
  }
}

void propose_servers(const ReplicatedState& agreed, const ProposalContext& leading, Decision& out) {
  const routing::ServerRegistry& members = leading.router->registry();
  for (const routing::ServerStatus& server : members.all()) {
    auto known = agreed.nodes().find(server.node.name);
    const char* state = routing_state::stored_name(server.state);
    bool same = known != agreed.nodes().end() && known->second.state() == state &&
                known->second.life() == server.incarnation && known->second.flaps() == server.flaps &&
                (known->second.version() == server.version || leading.format < kMaintenanceFormat) &&
                std::abs(known->second.weight() - server.weight) < kMinWeightChange;
    if (same) continue;
    *out.add_nodes() = routing_state::to_proto(routing::PersistedState::Node{
        server.node.name, server.state, server.incarnation, server.weight, server.flaps,
        leading.format < kMaintenanceFormat ? 0 : server.version});
  }
  for (const auto& [name, node] : agreed.nodes()) {
    if (!members.server(name)) out.add_nodes_gone(name);
  }
}

// Both are in order, and walked through once.
void propose_proxies(const ReplicatedState& agreed, const std::set<std::string>& here, Decision& out) {
  auto known = agreed.proxies().begin();
  const auto end = agreed.proxies().end();
  auto pass = [&] {
    if (known->second == kProxyConnected) out.add_proxies_gone(known->first);
    ++known;
  };
  for (const std::string& id : here) {
    while (known != end && known->first < id) pass();
    bool same = known != end && known->first == id;
    if (!same || known->second != kProxyConnected) out.add_proxies_here(id);
    if (same) ++known;
  }
  while (known != end) pass();
}

bool say_the_same(const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& one,
                  const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](const consensus::ProxyStatus& left, const consensus::ProxyStatus& right) {
                      return left.id() == right.id() && left.applied() == right.applied() &&
                             left.here() == right.here();
                    });
}

}  // namespace

void ProxyRegistry::update(consensus::ReplicaId by,
                           const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& proxies,
                           Nanos now) {
  auto before = by_instance_.find(by);
  if (before != by_instance_.end() && say_the_same(before->second.words, proxies)) return refresh(by, now);
  ++revision_;
  ReceivedList next{.at = now, .words = proxies, .proxies = {}};
  for (const consensus::ProxyStatus& proxy : proxies) next.proxies[proxy.id()] = proxy;
  for (const auto& [id, was] : by_instance_[by].proxies) {
    auto found = next.proxies.find(id);
    if (was.here() && (found == next.proxies.end() || !found->second.here())) last_[id] = was.applied();
  }
  by_instance_[by] = std::move(next);
}

ProxyRegistry::Basis ProxyRegistry::basis(const ReplicatedState& agreed, Nanos now) const {
  Basis out{.revision = revision_, .proxies_epoch = agreed.proxies_epoch(), .fresh = {}};
  for (const auto& [instance, received] : by_instance_) {
    if (now - received.at <= fresh_for_) out.fresh.push_back(instance);
  }
  return out;
}

std::uint64_t ProxyRegistry::applied_by_all(const ReplicatedState& agreed, Nanos now) {
  Basis of = basis(agreed, now);
  if (of != min_of_) {
    min_ = min_applied(agreed, now);
    min_of_ = std::move(of);
  }
  return std::min(agreed.published(), min_);
}

std::uint64_t ProxyRegistry::min_applied(const ReplicatedState& agreed, Nanos now) const {
  std::uint64_t out = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [id, gone_since] : agreed.proxies()) {
    // The least that those say who have it; of fresh words, else of old ones.
    std::optional<std::uint64_t> fresh;
    std::optional<std::uint64_t> old;
    for (const auto& [instance, received] : by_instance_) {
      auto found = received.proxies.find(id);
      if (found == received.proxies.end() || !found->second.here()) continue;
      std::optional<std::uint64_t>& min = now - received.at <= fresh_for_ ? fresh : old;
      min = min ? std::min(*min, found->second.applied()) : found->second.applied();
    }
    auto last = last_.find(id);
    std::uint64_t left = last == last_.end() ? 0 : last->second;
    out = std::min(out, fresh ? *fresh : old ? *old : left);
  }
  return out;
}

const std::set<std::string>& ProxyRegistry::here() {
  if (here_of_ == revision_) return here_;
  here_of_ = revision_;
  here_.clear();
  for (const auto& [instance, received] : by_instance_) {
    for (const auto& [id, proxy] : received.proxies) {
      if (proxy.here()) here_.insert(id);
    }
  }
  return here_;
}

Decision build_proposal(const ReplicatedState& agreed, const ProposalContext& leading) {
  Decision out;
  out.set_format(leading.format);
  const fleet::Fleet& fleet = leading.router->fleet();
  Nanos window = leading.router->quarantine();
  if (window != agreed.window()) out.set_window_ns(window);
  if (fleet.bounds.disconnected_proxy_expiry != agreed.disconnected_proxy_expiry())
    out.set_forget_proxies_ns(fleet.bounds.disconnected_proxy_expiry);
  propose_servers(agreed, leading, out);
  propose_shards(agreed, leading, out);
  out.set_applied(leading.applied);
  bool begins_anew = out.begin_shards() > 0 && !out.first_start();
  if (leading.next && !begins_anew) {
    *out.mutable_picture() = routing_state::to_proto(leading.next->snapshot);
    out.mutable_picture()->set_number(leading.next->number);
  }
  propose_proxies(agreed, leading.proxies->here(), out);
  for (const auto& [id, reported] : leading.instances) {
    auto known = agreed.instances().find(id);
    if (known != agreed.instances().end() && known->second == reported) continue;
    InstanceRecord& record = *out.add_instances();
    record.set_id(id);
    record.set_format(reported.format);
    record.set_settings(reported.settings);
  }
  for (const auto& [id, known] : agreed.instances()) {
    if (!leading.members.contains(id)) out.add_instances_gone(id);
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
