// Proxies of the simulated world: their streams to control replicas, and the keys that they send to servers.
#include <cstdio>

#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::run_proxy(Proxy& proxy) {
  later(100 * kMs, [this, &proxy] { run_proxy(proxy); });
  if (proxy.at >= 0) {
    bool broken = cut(proxy.place, proxy.at) || cut(proxy.at, proxy.place);
    bool known = controls_[static_cast<std::size_t>(proxy.at)]->streams.contains(proxy.place);
    if (!broken && known) proxy.cut_since = now_;
    if (now_ - proxy.cut_since > kStreamTimeout) {
      controls_[static_cast<std::size_t>(proxy.at)]->streams.erase(proxy.place);
      proxy.at = -1;
    }
  }
  if (proxy.at < 0 && chance() < 0.5) connect(proxy);
}

void Simulation::connect(Proxy& proxy) {
  Control& control = *controls_[static_cast<std::size_t>(pick(options_.instances))];
  if (!control.instance || cut(proxy.place, control.place) || cut(control.place, proxy.place)) return;
  proxy.at = control.place;
  proxy.cut_since = now_;
  int number = ++proxy.stream;
  stream(proxy.place, control.place, [&control, &proxy, number] {
    if (!control.instance || proxy.stream != number) return;
    control.streams[proxy.place] = {.number = number};
  });
}

void Simulation::send_key() {
  later(static_cast<Nanos>(static_cast<double>(kSecond) / options_.keys_per_s), [this] { send_key(); });
  auto key = std::make_shared<Key>();
  key->number = ++events_;
  char text[32];
  std::snprintf(text, sizeof text, "%08x%016llx", static_cast<unsigned>(random_()),
                static_cast<unsigned long long>(key->number));
  key->text = text;
  key->born = now_;
  try_key(key);
  int tries = pick(4);
  for (int i = 0; i < tries; ++i) {
    later(between(0, options_.window - kMs), [this, key] { try_key(key); });
  }
}

void Simulation::try_key(std::shared_ptr<Key> key) {
  Proxy& proxy = *proxies_[static_cast<std::size_t>(pick(options_.proxies))];
  auto shard = fencing::shard_of(key->text, options_.shard_digits);
  int owner = proxy.set && !proxy.closed ? proxy.set->snapshot.shards[*shard] : routing::kClosed;
  if (owner == routing::kClosed) {
    ++result_.rejected;
    return;
  }
  const std::string& name = proxy.set->snapshot.nodes[static_cast<std::size_t>(owner)].name;
  Node& node = *nodes_[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  // Within its time limit, however long it is on its way.
  later(between(kMs, kTimeout - 10 * kMs), [this, &node, key] { arrive(node, key); });
}

}  // namespace myrtlecroft::rehearsal
