// Faults of the simulated world: crashes, partitions, slow and lossy links, disks, clocks and old folders.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::cut_for(int from, int to, Nanos duration) {
  cuts_.insert({from, to});
  later(duration, [this, from, to] { cuts_.erase({from, to}); });
}

void Simulation::crash_for(Control& control, Nanos duration) {
  kill(control);
  later(duration, [this, &control] {
    if (!control.instance) start(control);
  });
}

void Simulation::crash_leader(const FaultTarget& target) {
  Control* leader = &target.control;
  for (auto& control : controls_) {
    if (control->instance && control->instance->is_active_leader()) leader = control.get();
  }
  crash_for(*leader, target.length);
}

void Simulation::crash_replica(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  crash_for(control, length);
}

void Simulation::pause_replica(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  control.paused_until = now_ + length;
}

void Simulation::cut_one_way(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  int all = options_.instances;
  cut_for(control.place, pick(all), length);
}

void Simulation::partition_replicas(const FaultTarget& target) {
  Nanos length = target.length;
  int all = options_.instances;
  int side = 1 + pick((1 << all) - 2);
  for (int a = 0; a < all; ++a) {
    for (int b = 0; b < all; ++b) {
      if ((side >> a & 1) != (side >> b & 1)) cut_for(a, b, length);
    }
  }
}

void Simulation::slow_replica(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  int all = options_.instances;
  for (int other = 0; other < all; ++other) {
    slow_[{control.place, other}] = kSecond;
    later(length, [this, from = control.place, other] { slow_.erase({from, other}); });
  }
}

void Simulation::flap_link(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  int all = options_.instances;
  int other = pick(all);
  for (Nanos at = 0; at < length; at += 300 * kMs) {
    later(at, [this, from = control.place, other] {
      cut_for(from, other, 150 * kMs);
      cut_for(other, from, 150 * kMs);
    });
  }
}

void Simulation::fail_disk(const FaultTarget& target) {
  Control& control = target.control;
  Nanos length = target.length;
  control.disk->sick = true;
  later(length, [&control] { control.disk->sick = false; });
}

void Simulation::advance_clock(const FaultTarget& target) {
  Control& control = target.control;
  control.ahead += between(kSecond, 20 * kSecond);
}

void Simulation::crash_server(const FaultTarget& target) {
  Node& node = target.node;
  Nanos length = target.length;
  node.alive = false;
  later(length, [&node] {
    if (node.alive) return;
    node.alive = true;
    ++node.incarnation;
    node.sequence = node.in_time = 0;
    if (node.store) return;
    node.ran.clear();
    node.fence = {};
    node.highest = {};
  });
}

void Simulation::cut_server(const FaultTarget& target) {
  Node& node = target.node;
  Nanos length = target.length;
  for (auto& control : controls_) {
    if (chance() < 0.6) cut_for(node.place, control->place, length);
    if (chance() < 0.6) cut_for(control->place, node.place, length);
  }
}

void Simulation::reset_proxy(const FaultTarget& target) {
  Proxy& proxy = target.proxy;
  if (proxy.at >= 0) controls_[static_cast<std::size_t>(proxy.at)]->streams.erase(proxy.place);
  proxy.at = -1;
  proxy.set = nullptr;
}

void Simulation::cut_proxy(const FaultTarget& target) {
  Proxy& proxy = target.proxy;
  Nanos length = target.length;
  for (auto& control : controls_) {
    if (chance() < 0.5) cut_for(proxy.place, control->place, length);
    if (chance() < 0.5) cut_for(control->place, proxy.place, length);
  }
}

void Simulation::lose_messages(const FaultTarget& target) {
  Nanos length = target.length;
  loss_ = 0.25;
  duplication_ = 0.2;
  later(length, [this] { loss_ = duplication_ = 0; });
}

void Simulation::crash_all_replicas(const FaultTarget& target) {
  Nanos length = target.length;
  for (auto& control : controls_) crash_for(*control, length + between(0, kSecond));
}

// Puts a folder back from an older copy, once, while the others run: the replica has to find out, and its
// operators take it out.
void Simulation::restore_old_folder(const FaultTarget& target) {
  Control& one = target.control;
  bool all_up = std::all_of(controls_.begin(), controls_.end(), [&](const auto& control) {
    return control->instance && control->paused_until <= now_ && control->instance->storage_verified() &&
           control->up_since + kSecond < now_;
  });
  if (folder_restored_ || !all_up) return;
  folder_restored_ = true;
  one.disk->copy = one.disk->kept;
  later(between(2 * kSecond, 6 * kSecond), [this, &one] { put_back_folder(one); });
}

void Simulation::put_back_folder(Control& one) {
  bool others_up = std::all_of(controls_.begin(), controls_.end(), [&](const auto& control) {
    return control.get() == &one ||
           (control->instance && control->up_since + 6 * kSecond < now_ && control->paused_until <= now_);
  });
  // A second fault at once is more than three instances stand.
  if (!others_up || !cuts_.empty() || !slow_.empty() || loss_ > 0) return;
  calm_until_ = now_ + 4 * kSecond;
  kill(one);
  one.disk->kept = one.disk->copy;
  start(one);
}

void Simulation::inject_fault() {
  later(static_cast<Nanos>(static_cast<double>(kSecond) / options_.faults_per_s * (0.3 + 1.4 * chance())),
        [this] {
          if (now_ < options_.faults_for) inject_fault();
        });
  if (now_ < calm_until_) return;
  ++result_.faults;
  Control& control = *controls_[static_cast<std::size_t>(pick(options_.instances))];
  Node& node = *nodes_[static_cast<std::size_t>(pick(options_.nodes))];
  Proxy& proxy = *proxies_[static_cast<std::size_t>(pick(options_.proxies))];
  Nanos length = between(300 * kMs, 7 * kSecond);
  constexpr void (Simulation::*kFaults[])(const FaultTarget&) = {
      &Simulation::crash_leader,      &Simulation::crash_replica,      &Simulation::pause_replica,
      &Simulation::cut_one_way,       &Simulation::partition_replicas, &Simulation::slow_replica,
      &Simulation::flap_link,         &Simulation::fail_disk,          &Simulation::advance_clock,
      &Simulation::crash_server,      &Simulation::cut_server,         &Simulation::reset_proxy,
      &Simulation::cut_proxy,         &Simulation::lose_messages,      &Simulation::crash_all_replicas,
      &Simulation::restore_old_folder};
  (this->*kFaults[pick(kFaultKinds)])({.control = control, .node = node, .proxy = proxy, .length = length});
}

void Simulation::end_all_faults() {
  cuts_.clear();
  slow_.clear();
  loss_ = duplication_ = 0;
  for (auto& control : controls_) {
    control->disk->sick = false;
    if (control->instance && control->instance->raft_node().role() == consensus::Role::kUnavailable)
      kill(*control);
    if (!control->instance) start(*control);
  }
}

}  // namespace myrtlecroft::rehearsal
