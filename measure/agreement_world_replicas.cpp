// Control replicas of the simulated world: start, crash, ticks and what they serve to proxies.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::start(Control& control) {
  if (control.retired) return;
  agreement::ReplicaOptions options;
  options.id = static_cast<std::uint64_t>(control.place + 1);
  options.address = std::to_string(control.place + 1);
  options.raft.fleet = "world";
  options.raft.snapshot_threshold = 40;  // so that snapshots come often
  options.raft.snapshot_trailing = 10;
  control.instance = std::make_unique<ControlReplica>(
      options, *control.disk, *control.line, fleet(), true, [this, &control] { return now_ + control.ahead; },
      random_(), [](const std::string&) {});
  control.rollout_controller = std::make_unique<releases::RolloutController>([](const std::string&) {});
  control.instance->set_decision_contributor(control.rollout_controller.get());
  control.instance->start();
  control.up_since = now_;
  int incarnation = ++control.incarnation;
  later(between(0, kTick), [this, &control, incarnation] {
    if (incarnation == control.incarnation) run_control(control);
  });
}

void Simulation::kill(Control& control) {
  if (!control.instance) return;
  control.instance.reset();
  ++control.incarnation;
  ++control.disk->incarnation;
  control.waiting.clear();
  control.paused_until = 0;
  control.streams.clear();
  control.left.clear();
  for (auto& proxy : proxies_) {
    if (proxy->at == control.place) proxy->at = -1;
  }
}

void Simulation::run_control(Control& control) {
  if (!control.instance) return;
  int incarnation = control.incarnation;
  if (control.paused_until > now_) {
    later(control.paused_until - now_, [this, &control, incarnation] {
      if (incarnation != control.incarnation) return;
      auto waiting = std::exchange(control.waiting, {});
      for (auto& one : waiting) one();
      run_control(control);
    });
    return;
  }
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
  for (const auto& [place, stream] : control.streams) {
    words.Add()->set_id("p" + std::to_string(place - 5000));
    words.rbegin()->set_applied(stream.applied);
    words.rbegin()->set_here(true);
  }
  control.instance->set_local_proxies(std::move(words));
  control.instance->tick();
  if (!control.instance->fault().empty()) {
    ++result_.rejected_old_folders;
    control.retired = true;
    return kill(control);
  }
  const agreement::ReplicatedState& state = control.instance->committed_state();
  std::uint64_t number = state.epoch().number;
  auto [seen, first] = digests_.emplace(number, 0);
  std::uint64_t digest = state.digest();
  if (first) seen->second = digest;
  if (seen->second != digest) {
    violate(result_.lost_entries, "instance " + std::to_string(control.place + 1) + " has another state at " +
                                      std::to_string(number));
  }
  if (number > agreed_) track_leases(state);
  agreed_ = std::max(agreed_, number);
  result_.decisions = agreed_;
  serve(control);
  later(kTick, [this, &control, incarnation] {
    if (incarnation == control.incarnation) run_control(control);
  });
}

// The rule of the discovery service: what is agreed goes to those who are agreed; out of touch with a
// majority, a stream that is new gets a set without an open shard, and the others nothing.
void Simulation::serve(Control& control) {
  auto set = control.instance->published();
  if (!set) return;
  bool touch = control.instance->has_quorum();
  for (auto& [place, stream] : control.streams) {
    Proxy& proxy = *proxies_[static_cast<std::size_t>(place - 5000)];
    if (!control.instance->may_serve(proxy.id)) continue;
    if (!touch && stream.sent > 0) continue;
    if (touch && stream.sent == set->number && !stream.sent_closed) continue;
    stream.sent = set->number;
    stream.sent_closed = !touch;
    int number = stream.number;
    this->stream(control.place, place, [this, &control, &proxy, number, set, closed = !touch] {
      if (proxy.at != control.place || proxy.stream != number) return;
      proxy.set = set;
      proxy.closed = closed;
      this->stream(proxy.place, control.place, [&control, &proxy, number, set] {
        auto found = control.streams.find(proxy.place);
        if (found == control.streams.end() || found->second.number != number) return;
        found->second.applied = std::max(found->second.applied, set->number);
      });
    });
  }
}

}  // namespace myrtlecroft::rehearsal
