// Control replicas of the simulation: starts, crashes, ticks and publications to proxies.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::start_replica(Replica& replica) {
  if (replica.retired) return;
  agreement::ReplicaOptions options;
  options.id = static_cast<std::uint64_t>(replica.place + 1);
  options.address = std::to_string(replica.place + 1);
  options.raft.fleet = "world";
  options.raft.snapshot_threshold = 40;  // low, so that log snapshots are frequent
  options.raft.snapshot_trailing = 10;
  replica.instance = std::make_unique<ControlReplica>(
      options, *replica.disk, *replica.transport, fleet(), true,
      [this, &replica] { return now_ + replica.clock_offset; }, random_(), [](const std::string&) {});
  replica.rollout_controller = std::make_unique<releases::RolloutController>([](const std::string&) {});
  replica.instance->set_decision_contributor(replica.rollout_controller.get());
  replica.instance->start();
  replica.started_at = now_;
  int incarnation = ++replica.incarnation;
  schedule(draw_duration(0, kTick), [this, &replica, incarnation] {
    if (incarnation == replica.incarnation) tick_replica(replica);
  });
}

void Simulation::kill_replica(Replica& replica) {
  if (!replica.instance) return;
  replica.instance.reset();
  ++replica.incarnation;
  ++replica.disk->incarnation;
  replica.delayed_deliveries.clear();
  replica.paused_until = 0;
  replica.streams.clear();
  replica.departed_proxies.clear();
  for (auto& proxy : proxies_) {
    if (proxy->connected_replica == replica.place) proxy->connected_replica = -1;
  }
}

void Simulation::tick_replica(Replica& replica) {
  if (!replica.instance) return;
  int incarnation = replica.incarnation;
  if (replica.paused_until > now_) {
    schedule(replica.paused_until - now_, [this, &replica, incarnation] {
      if (incarnation != replica.incarnation) return;
      auto delayed_deliveries = std::exchange(replica.delayed_deliveries, {});
      for (auto& one : delayed_deliveries) one();
      tick_replica(replica);
    });
    return;
  }
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> proxy_statuses;
  for (const auto& [place, stream] : replica.streams) {
    proxy_statuses.Add()->set_id("p" + std::to_string(place - 5000));
    proxy_statuses.rbegin()->set_applied(stream.applied_publication);
    proxy_statuses.rbegin()->set_here(true);
  }
  replica.instance->set_local_proxies(std::move(proxy_statuses));
  replica.instance->tick();
  if (!replica.instance->fault().empty()) {
    ++result_.rejected_old_folders;
    replica.retired = true;
    return kill_replica(replica);
  }
  const agreement::ReplicatedState& state = replica.instance->committed_state();
  std::uint64_t number = state.epoch().number;
  auto [seen, is_first] = digest_by_epoch_.emplace(number, 0);
  std::uint64_t digest = state.digest();
  if (is_first) seen->second = digest;
  if (seen->second != digest) {
    record_violation(result_.lost_entries, "instance " + std::to_string(replica.place + 1) +
                                               " has a different state at epoch " + std::to_string(number));
  }
  if (number > highest_agreed_epoch_) track_leases(state);
  highest_agreed_epoch_ = std::max(highest_agreed_epoch_, number);
  result_.decisions = highest_agreed_epoch_;
  send_to_proxies(replica);
  schedule(kTick, [this, &replica, incarnation] {
    if (incarnation == replica.incarnation) tick_replica(replica);
  });
}

// Follows the rule of the discovery service: committed publications go to registered proxies. Without a
// quorum, a new stream gets a publication with all shards closed, and other streams get nothing.
void Simulation::send_to_proxies(Replica& replica) {
  auto publication = replica.instance->published();
  if (!publication) return;
  bool has_quorum = replica.instance->has_quorum();
  for (auto& [place, stream] : replica.streams) {
    Proxy& proxy = *proxies_[static_cast<std::size_t>(place - 5000)];
    if (!replica.instance->may_serve(proxy.id)) continue;
    if (!has_quorum && stream.sent_publication > 0) continue;
    if (has_quorum && stream.sent_publication == publication->number && !stream.sent_all_closed) continue;
    stream.sent_publication = publication->number;
    stream.sent_all_closed = !has_quorum;
    int number = stream.number;
    this->send_on_stream(
        replica.place, place, [this, &replica, &proxy, number, publication, closed = !has_quorum] {
          if (proxy.connected_replica != replica.place || proxy.stream != number) return;
          proxy.publication = publication;
          proxy.closed = closed;
          this->send_on_stream(proxy.place, replica.place, [&replica, &proxy, number, publication] {
            auto found = replica.streams.find(proxy.place);
            if (found == replica.streams.end() || found->second.number != number) return;
            found->second.applied_publication =
                std::max(found->second.applied_publication, publication->number);
          });
        });
  }
}

}  // namespace myrtlecroft::rehearsal
