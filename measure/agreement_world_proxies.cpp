// Proxies of the simulation: streams to control replicas, and keyed requests to servers.
#include <cstdio>

#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

void Simulation::run_proxy(Proxy& proxy) {
  schedule(100 * kMs, [this, &proxy] { run_proxy(proxy); });
  if (proxy.connected_replica >= 0) {
    bool broken =
        is_cut(proxy.place, proxy.connected_replica) || is_cut(proxy.connected_replica, proxy.place);
    bool known = replicas_[static_cast<std::size_t>(proxy.connected_replica)]->streams.contains(proxy.place);
    if (!broken && known) proxy.cut_since = now_;
    if (now_ - proxy.cut_since > kStreamTimeout) {
      replicas_[static_cast<std::size_t>(proxy.connected_replica)]->streams.erase(proxy.place);
      proxy.connected_replica = -1;
    }
  }
  if (proxy.connected_replica < 0 && draw_fraction() < 0.5) connect(proxy);
}

void Simulation::connect(Proxy& proxy) {
  Replica& replica = *replicas_[static_cast<std::size_t>(draw_index(options_.instances))];
  if (!replica.instance || is_cut(proxy.place, replica.place) || is_cut(replica.place, proxy.place)) return;
  proxy.connected_replica = replica.place;
  proxy.cut_since = now_;
  int number = ++proxy.stream;
  send_on_stream(proxy.place, replica.place, [&replica, &proxy, number] {
    if (!replica.instance || proxy.stream != number) return;
    replica.streams[proxy.place] = {.number = number};
  });
}

void Simulation::send_keyed_request() {
  schedule(static_cast<Nanos>(static_cast<double>(kSecond) / options_.keys_per_s),
           [this] { send_keyed_request(); });
  auto request = std::make_shared<KeyedRequest>();
  request->number = ++event_count_;
  char text[32];
  std::snprintf(text, sizeof text, "%08x%016llx", static_cast<unsigned>(random_()),
                static_cast<unsigned long long>(request->number));
  request->key = text;
  request->created_at = now_;
  send_attempt(request);
  int tries = draw_index(4);
  for (int i = 0; i < tries; ++i) {
    schedule(draw_duration(0, options_.window - kMs), [this, request] { send_attempt(request); });
  }
}

void Simulation::send_attempt(std::shared_ptr<KeyedRequest> request) {
  Proxy& proxy = *proxies_[static_cast<std::size_t>(draw_index(options_.proxies))];
  auto shard = fencing::shard_of(request->key, options_.shard_digits);
  int owner =
      proxy.publication && !proxy.closed ? proxy.publication->snapshot.shards[*shard] : routing::kClosed;
  if (owner == routing::kClosed) {
    ++result_.rejected;
    return;
  }
  const std::string& name = proxy.publication->snapshot.nodes[static_cast<std::size_t>(owner)].name;
  Server& server = *servers_[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  // Arrives within the request timeout, whatever the network delay.
  schedule(draw_duration(kMs, kRequestTimeout - 10 * kMs),
           [this, &server, request] { handle_request(server, request); });
}

}  // namespace myrtlecroft::rehearsal
