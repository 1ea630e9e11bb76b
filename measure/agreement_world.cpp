// The world itself: what it is made of, its event queue and its network.
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
    auto control = std::make_unique<Control>();
    control->place = i;
    control->disk = std::make_unique<Disk>(*this);
    control->line = std::make_unique<Line>(*this, i);
    consensus::RaftNode::bootstrap(*control->disk, servers);
    controls_.push_back(std::move(control));
  }
  for (int i = 0; i < options_.nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_.back()->place = 1000 + i;
    nodes_.back()->name = "n" + std::to_string(i);
    nodes_.back()->store = i % 3 == 0;
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
  for (const auto& node : nodes_) {
    out.nodes.push_back({.name = node->name,
                         .zone = "a",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(node->place)});
  }
  out.request_classes.push_back({.name = "book",
                                 .path = "/book",
                                 .idempotency = Idempotency::kKeyed,
                                 .priority_weight = 1,
                                 .latency_objective = kTimeout,
                                 .client_timeout = kTimeout,
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

void Simulation::later(Nanos delay, std::function<void()> happen) {
  queue_.push({now_ + std::max<Nanos>(delay, 0), ++events_, std::move(happen)});
}

bool Simulation::cut(int from, int to) const { return cuts_.contains({from, to}); }

// What goes over a stream waits while its link is cut; the stream itself may not last so long.
void Simulation::stream(int from, int to, std::function<void()> arrive) {
  if (cut(from, to)) {
    later(20 * kMs, [this, from, to, arrive = std::move(arrive)] { stream(from, to, arrive); });
  } else {
    later(between(kMs / 2, 6 * kMs), std::move(arrive));
  }
}

// Lost, late, doubled or in another order.
void Simulation::deliver(int from, int to, std::function<void()> arrive) {
  if (cut(from, to) || chance() < loss_) return;
  auto slow = slow_.find({from, to});
  Nanos delay = between(kMs / 2, 6 * kMs) + (slow == slow_.end() ? 0 : slow->second);
  auto at_door = [this, to, arrive = std::move(arrive)] {
    if (to < options_.instances) {
      Control& control = *controls_[static_cast<std::size_t>(to)];
      if (control.paused_until > now_) {
        control.waiting.push_back(arrive);
        return;
      }
    }
    arrive();
  };
  if (chance() < duplication_) later(delay + between(0, 50 * kMs), at_door);
  later(delay, std::move(at_door));
}

void Simulation::Line::send(const consensus::PeerMessage& message, const std::string&) {
  int to = static_cast<int>(message.to()) - 1;
  Control& there = *world.controls_[static_cast<std::size_t>(to)];
  world.deliver(from, to, [&there, message] {
    if (there.instance) there.instance->received(message);
  });
}

SimulationResult Simulation::play() {
  for (auto& control : controls_) start(*control);
  for (auto& node : nodes_) later(between(0, kReportEvery), [this, &one = *node] { run_node(one); });
  for (auto& proxy : proxies_) later(between(0, kSecond), [this, &one = *proxy] { run_proxy(one); });
  later(kSecond, [this] { send_key(); });
  later(3 * kSecond, [this] { inject_fault(); });
  if (options_.releases) later(4 * kSecond, [this] { run_operator(); });
  later(kSecond, [this] { check_shard_owners(); });
  later(options_.faults_for + 8 * kSecond, [this] { end_all_faults(); });
  Nanos end = options_.faults_for + 8 * kSecond + options_.quiet_for;
  while (!queue_.empty() && queue_.top().at <= end) {
    now_ = queue_.top().at;
    auto happen = queue_.top().happen;
    queue_.pop();
    happen();
  }
  check_recovery();
  return result_;
}

}  // namespace myrtlecroft::rehearsal
