// Construction of the simulation, its event queue and its network.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

Simulation::Simulation(const SimulationOptions& options) : options_(options), random_(options.seed) {
  std::vector<consensus::Server> servers;
  for (int i = 0; i < options_.instances; ++i) {
    servers.emplace_back();
    servers.back().set_id(static_cast<std::uint64_t>(i + 1));
    servers.back().set_address(std::to_string(i + 1));
    servers.back().set_role(1);
  }
  for (int i = 0; i < options_.instances; ++i) {
    auto replica = std::make_unique<Replica>();
    replica->place = i;
    replica->disk = std::make_unique<Disk>(*this);
    replica->transport = std::make_unique<ReplicaTransport>(*this, i);
    consensus::RaftNode::bootstrap(*replica->disk, servers);
    replicas_.push_back(std::move(replica));
  }
  for (int i = 0; i < options_.nodes; ++i) {
    servers_.push_back(std::make_unique<Server>());
    servers_.back()->place = 1000 + i;
    servers_.back()->name = "n" + std::to_string(i);
    servers_.back()->has_store = i % 3 == 0;
  }
  for (int i = 0; i < options_.proxies; ++i) {
    proxies_.push_back(std::make_unique<Proxy>());
    proxies_.back()->place = 5000 + i;
    proxies_.back()->id = "p" + std::to_string(i);
  }
}

Simulation::~Simulation() = default;

fleet::Fleet Simulation::fleet() const {
  fleet::Fleet out;
  out.listener = "world";
  out.proxies = options_.proxies;
  for (const auto& server : servers_) {
    out.nodes.push_back({.name = server->name,
                         .zone = "a",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(server->place)});
  }
  out.request_classes.push_back({.name = "book",
                                 .path = "/book",
                                 .idempotency = Idempotency::kKeyed,
                                 .priority_weight = 1,
                                 .latency_objective = kRequestTimeout,
                                 .client_timeout = kRequestTimeout,
                                 .deduplication_window = options_.window,
                                 .key_header = "Key",
                                 .max_unavailable = {}});
  out.maintenance.max_unavailable = {.by_count = true, .max = static_cast<double>(options_.max_unavailable)};
  out.maintenance.reserve = 0;
  out.maintenance.lease_duration = 10 * kSecond;
  out.bounds.shard_digits = options_.shard_digits;
  out.bounds.slow_start = 500 * kMs;
  out.bounds.min_time_out_of_rotation = 500 * kMs;
  return out;
}

void Simulation::schedule(Nanos delay, std::function<void()> action) {
  queue_.push({now_ + std::max<Nanos>(delay, 0), ++event_count_, std::move(action)});
}

bool Simulation::is_cut(int from, int to) const { return cut_links_.contains({from, to}); }

// Stream data waits while its link is cut, and the stream may break in the meantime.
void Simulation::send_on_stream(int from, int to, std::function<void()> on_arrival) {
  if (is_cut(from, to)) {
    schedule(20 * kMs,
             [this, from, to, on_arrival = std::move(on_arrival)] { send_on_stream(from, to, on_arrival); });
  } else {
    schedule(draw_duration(kMs / 2, 6 * kMs), std::move(on_arrival));
  }
}

// Datagrams may be lost, delayed, duplicated or reordered.
void Simulation::deliver(int from, int to, std::function<void()> on_arrival) {
  if (is_cut(from, to) || draw_fraction() < loss_probability_) return;
  auto slow = link_delays_.find({from, to});
  Nanos delay = draw_duration(kMs / 2, 6 * kMs) + (slow == link_delays_.end() ? 0 : slow->second);
  auto deliver_or_delay = [this, to, on_arrival = std::move(on_arrival)] {
    if (to < options_.instances) {
      Replica& replica = *replicas_[static_cast<std::size_t>(to)];
      if (replica.paused_until > now_) {
        replica.delayed_deliveries.push_back(on_arrival);
        return;
      }
    }
    on_arrival();
  };
  if (draw_fraction() < duplication_probability_)
    schedule(delay + draw_duration(0, 50 * kMs), deliver_or_delay);
  schedule(delay, std::move(deliver_or_delay));
}

void Simulation::ReplicaTransport::send(const consensus::PeerMessage& message, const std::string&) {
  int to = static_cast<int>(message.to()) - 1;
  Replica& receiver = *world.replicas_[static_cast<std::size_t>(to)];
  world.deliver(from, to, [&receiver, message] {
    if (receiver.instance) receiver.instance->received(message);
  });
}

SimulationResult Simulation::play() {
  for (auto& replica : replicas_) start_replica(*replica);
  for (auto& server : servers_)
    schedule(draw_duration(0, kReportInterval), [this, &one = *server] { run_server(one); });
  for (auto& proxy : proxies_) schedule(draw_duration(0, kSecond), [this, &one = *proxy] { run_proxy(one); });
  schedule(kSecond, [this] { send_keyed_request(); });
  schedule(3 * kSecond, [this] { inject_fault(); });
  if (options_.releases) schedule(4 * kSecond, [this] { run_operator(); });
  schedule(kSecond, [this] { check_shard_owners(); });
  schedule(options_.fault_duration + 8 * kSecond, [this] { end_all_faults(); });
  Nanos end = options_.fault_duration + 8 * kSecond + options_.recovery_duration;
  while (!queue_.empty() && queue_.top().at <= end) {
    now_ = queue_.top().at;
    auto action = queue_.top().action;
    queue_.pop();
    action();
  }
  check_recovery();
  return result_;
}

}  // namespace myrtlecroft::rehearsal
