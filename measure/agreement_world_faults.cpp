// Faults of the simulation: crashes, partitions, slow and lossy links, disk faults, clock jumps and old
// folders.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::cut_link_for(int from, int to, Nanos duration) {
  cut_links_.insert({from, to});
  schedule(duration, [this, from, to] { cut_links_.erase({from, to}); });
}

void Simulation::crash_for(Replica& replica, Nanos duration) {
  kill_replica(replica);
  schedule(duration, [this, &replica] {
    if (!replica.instance) start_replica(replica);
  });
}

void Simulation::crash_leader(const FaultTarget& target) {
  Replica* leader = &target.replica;
  for (auto& replica : replicas_) {
    if (replica->instance && replica->instance->is_active_leader()) leader = replica.get();
  }
  crash_for(*leader, target.length);
}

void Simulation::crash_replica(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  crash_for(replica, length);
}

void Simulation::pause_replica(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  replica.paused_until = now_ + length;
}

void Simulation::cut_one_way(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  int replica_count = options_.instances;
  cut_link_for(replica.place, draw_index(replica_count), length);
}

void Simulation::partition_replicas(const FaultTarget& target) {
  Nanos length = target.length;
  int replica_count = options_.instances;
  int side = 1 + draw_index((1 << replica_count) - 2);
  for (int a = 0; a < replica_count; ++a) {
    for (int b = 0; b < replica_count; ++b) {
      if ((side >> a & 1) != (side >> b & 1)) cut_link_for(a, b, length);
    }
  }
}

void Simulation::slow_replica(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  int replica_count = options_.instances;
  for (int other = 0; other < replica_count; ++other) {
    link_delays_[{replica.place, other}] = kSecond;
    schedule(length, [this, from = replica.place, other] { link_delays_.erase({from, other}); });
  }
}

void Simulation::flap_link(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  int replica_count = options_.instances;
  int other = draw_index(replica_count);
  for (Nanos at = 0; at < length; at += 300 * kMs) {
    schedule(at, [this, from = replica.place, other] {
      cut_link_for(from, other, 150 * kMs);
      cut_link_for(other, from, 150 * kMs);
    });
  }
}

void Simulation::fail_disk(const FaultTarget& target) {
  Replica& replica = target.replica;
  Nanos length = target.length;
  replica.disk->has_write_fault = true;
  schedule(length, [&replica] { replica.disk->has_write_fault = false; });
}

void Simulation::advance_clock(const FaultTarget& target) {
  Replica& replica = target.replica;
  replica.clock_offset += draw_duration(kSecond, 20 * kSecond);
}

void Simulation::crash_server(const FaultTarget& target) {
  Server& server = target.server;
  Nanos length = target.length;
  server.alive = false;
  schedule(length, [&server] {
    if (server.alive) return;
    server.alive = true;
    ++server.incarnation;
    server.sequence = server.completed_in_time = 0;
    if (server.has_store) return;
    server.executed_requests.clear();
    server.fencing_guard = {};
    server.highest_epoch = {};
  });
}

void Simulation::cut_server(const FaultTarget& target) {
  Server& server = target.server;
  Nanos length = target.length;
  for (auto& replica : replicas_) {
    if (draw_fraction() < 0.6) cut_link_for(server.place, replica->place, length);
    if (draw_fraction() < 0.6) cut_link_for(replica->place, server.place, length);
  }
}

void Simulation::reset_proxy(const FaultTarget& target) {
  Proxy& proxy = target.proxy;
  if (proxy.connected_replica >= 0)
    replicas_[static_cast<std::size_t>(proxy.connected_replica)]->streams.erase(proxy.place);
  proxy.connected_replica = -1;
  proxy.publication = nullptr;
}

void Simulation::cut_proxy(const FaultTarget& target) {
  Proxy& proxy = target.proxy;
  Nanos length = target.length;
  for (auto& replica : replicas_) {
    if (draw_fraction() < 0.5) cut_link_for(proxy.place, replica->place, length);
    if (draw_fraction() < 0.5) cut_link_for(replica->place, proxy.place, length);
  }
}

void Simulation::lose_messages(const FaultTarget& target) {
  Nanos length = target.length;
  loss_probability_ = 0.25;
  duplication_probability_ = 0.2;
  schedule(length, [this] { loss_probability_ = duplication_probability_ = 0; });
}

void Simulation::crash_all_replicas(const FaultTarget& target) {
  Nanos length = target.length;
  for (auto& replica : replicas_) crash_for(*replica, length + draw_duration(0, kSecond));
}

// Restores a folder from an older copy, once, while the other replicas run. The replica must detect it, and
// is then removed.
void Simulation::restore_old_folder(const FaultTarget& target) {
  Replica& restored = target.replica;
  bool all_up = std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& replica) {
    return replica->instance && replica->paused_until <= now_ && replica->instance->storage_verified() &&
           replica->started_at + kSecond < now_;
  });
  if (folder_restored_ || !all_up) return;
  folder_restored_ = true;
  restored.disk->old_state = restored.disk->durable_state;
  schedule(draw_duration(2 * kSecond, 6 * kSecond), [this, &restored] { swap_in_old_folder(restored); });
}

void Simulation::swap_in_old_folder(Replica& restored) {
  bool others_up = std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& replica) {
    return replica.get() == &restored ||
           (replica->instance && replica->started_at + 6 * kSecond < now_ && replica->paused_until <= now_);
  });
  // Three replicas don't tolerate a second fault at the same time.
  if (!others_up || !cut_links_.empty() || !link_delays_.empty() || loss_probability_ > 0) return;
  no_faults_until_ = now_ + 4 * kSecond;
  kill_replica(restored);
  restored.disk->durable_state = restored.disk->old_state;
  start_replica(restored);
}

void Simulation::inject_fault() {
  schedule(static_cast<Nanos>(static_cast<double>(kSecond) / options_.faults_per_s *
                              (0.3 + 1.4 * draw_fraction())),
           [this] {
             if (now_ < options_.fault_duration) inject_fault();
           });
  if (now_ < no_faults_until_) return;
  ++result_.faults;
  Replica& replica = *replicas_[static_cast<std::size_t>(draw_index(options_.instances))];
  Server& server = *servers_[static_cast<std::size_t>(draw_index(options_.nodes))];
  Proxy& proxy = *proxies_[static_cast<std::size_t>(draw_index(options_.proxies))];
  Nanos length = draw_duration(300 * kMs, 7 * kSecond);
  constexpr void (Simulation::*kFaults[])(const FaultTarget&) = {
      &Simulation::crash_leader,      &Simulation::crash_replica,      &Simulation::pause_replica,
      &Simulation::cut_one_way,       &Simulation::partition_replicas, &Simulation::slow_replica,
      &Simulation::flap_link,         &Simulation::fail_disk,          &Simulation::advance_clock,
      &Simulation::crash_server,      &Simulation::cut_server,         &Simulation::reset_proxy,
      &Simulation::cut_proxy,         &Simulation::lose_messages,      &Simulation::crash_all_replicas,
      &Simulation::restore_old_folder};
  (this->*kFaults[draw_index(kFaultKinds)])(
      {.replica = replica, .server = server, .proxy = proxy, .length = length});
}

void Simulation::end_all_faults() {
  cut_links_.clear();
  link_delays_.clear();
  loss_probability_ = duplication_probability_ = 0;
  for (auto& replica : replicas_) {
    replica->disk->has_write_fault = false;
    if (replica->instance && replica->instance->raft_node().role() == consensus::Role::kUnavailable)
      kill_replica(*replica);
    if (!replica->instance) start_replica(*replica);
  }
}

}  // namespace myrtlecroft::rehearsal
