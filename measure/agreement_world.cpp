#include "agreement_world.h"

#include <algorithm>
#include <utility>

#include "releases/rollout_plan.h"

namespace myrtlecroft::rehearsal {
namespace {

using agreement::ControlReplica;
using fencing::FencingGuard;
using fencing::ShardAssignment;

constexpr Nanos kTick = 25 * kMs;
constexpr Nanos kReportEvery = 250 * kMs;
constexpr Nanos kTimeout = 500 * kMs;       // of one request
constexpr Nanos kStreamBreaks = 300 * kMs;  // a link that is cut for so long takes the stream with it
constexpr Nanos kFresh = 1000 * kMs;        // an answer that restarts a server is no older
constexpr Nanos kRace = 3000 * kMs;         // a leave that was taken back may still be acted on for so long
constexpr Nanos kUnixStart = 1'700'000'000 * kSecond;

}  // namespace

// A folder: what is written lasts, what was only sent to it is lost with the process.
struct World::Disk final : consensus::RaftStorage {
  explicit Disk(World& of) : world(of) {}
  consensus::PersistentState load() override {
    ++incarnation;  // what is still on its way belongs to whoever was here before
    failed = false;
    return kept;
  }
  bool is_writable() const override { return !sick; }
  bool save_vote(std::uint64_t term, consensus::InstanceId voted_for) override {
    failed = failed || sick;
    if (failed) return false;
    kept.term = term;
    kept.voted_for = voted_for;
    return true;
  }
  void append(std::uint64_t first, std::vector<consensus::LogEntry> entries, Done done) override {
    write(std::move(done), [this, first, entries = std::move(entries)] {
      kept.entries.resize(static_cast<std::size_t>(first - kept.first));
      kept.entries.insert(kept.entries.end(), entries.begin(), entries.end());
    });
  }
  void truncate(std::uint64_t from) override {
    write({}, [this, from] {
      if (from - kept.first < kept.entries.size())
        kept.entries.resize(static_cast<std::size_t>(from - kept.first));
    });
  }
  void save_snapshot(const consensus::LogSnapshot& snapshot, std::uint64_t first_retained,
                     Done done) override {
    write(std::move(done), [this, snapshot, first_retained] {
      kept.snapshot = snapshot;
      std::uint64_t drop = first_retained > kept.first ? first_retained - kept.first : 0;
      std::size_t count = std::min<std::size_t>(drop, kept.entries.size());
      kept.entries.erase(kept.entries.begin(), kept.entries.begin() + static_cast<long>(count));
      kept.first = std::max(kept.first, first_retained);
    });
  }
  void replace(const consensus::PersistentState& all) override { kept = all; }

  // In order, each after a while; none of a process that is gone.
  void write(Done done, std::function<void()> what) {
    free_at = std::max(free_at, world.now_) + world.between(kMs / 5, 4 * kMs);
    world.later(free_at - world.now_,
                [this, incarnation = incarnation, done = std::move(done), what = std::move(what)] {
                  if (incarnation != this->incarnation) return;
                  failed = failed || sick;
                  if (!failed) what();
                  if (done) done(!failed);
                });
  }

  World& world;
  consensus::PersistentState kept;
  consensus::PersistentState copy;
  bool sick = false;
  bool failed = false;  // something was not kept since the last load
  int incarnation = 0;
  Nanos free_at = 0;
};

struct World::Line final : consensus::Transport {
  Line(World& of, int from_place) : world(of), from(from_place) {}
  void send(const consensus::PeerMessage& message, const std::string&) override;
  World& world;
  int from;
};

struct World::Control {
  struct Stream {
    int number = 0;
    std::uint64_t applied = 0;
    std::uint64_t sent = 0;
    bool sent_closed = false;
  };
  int place = 0;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<Line> line;
  std::unique_ptr<releases::RolloutController> rollout_controller;
  std::unique_ptr<ControlReplica> instance;  // none: it is dead
  Nanos paused_until = 0;
  Nanos ahead = 0;  // of its clock
  int incarnation = 0;
  Nanos up_since = 0;
  bool retired = false;                        // its folder was too old
  std::vector<std::function<void()>> waiting;  // came while it was paused
  std::map<int, Stream> streams;               // by the proxy's place
  std::map<std::string, std::uint64_t> left;   // proxies that left, and what they had
};

struct World::Node {
  int place = 0;
  std::string name;
  std::uint64_t incarnation = 1;
  bool alive = true;
  bool store = false;
  std::uint64_t sequence = 0;
  FencingGuard fence;
  fencing::Epoch highest;
  std::set<std::uint64_t> ran;
  std::uint32_t version = 1;
  bool chosen = false;  // out as it was told, until it is warm again
  Nanos warm_at = 0;
  std::uint64_t in_time = 0;
};

struct World::Proxy {
  int place = 0;
  std::string id;
  std::shared_ptr<const routing::PublishedSnapshot> set;
  bool closed = true;
  int at = -1;  // the instance
  int stream = 0;
  Nanos cut_since = 0;
};

struct World::Key {
  std::uint64_t number = 0;
  std::string text;
  Nanos born = 0;
  std::vector<int> ran_at;
};

void World::Line::send(const consensus::PeerMessage& message, const std::string&) {
  int to = static_cast<int>(message.to()) - 1;
  Control& there = *world.controls_[static_cast<std::size_t>(to)];
  world.deliver(from, to, [&there, message] {
    if (there.instance) there.instance->received(message);
  });
}

World::World(const WorldOptions& options) : options_(options), random_(options.seed) {
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

World::~World() = default;

fleet::Fleet World::fleet() const {
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
  out.bounds.dwell = 500 * kMs;
  return out;
}

void World::later(Nanos delay, std::function<void()> happen) {
  queue_.push({now_ + std::max<Nanos>(delay, 0), ++events_, std::move(happen)});
}

bool World::cut(int from, int to) const { return cuts_.contains({from, to}); }

// What goes over a stream waits while its link is cut; the stream itself may not last so long.
void World::stream(int from, int to, std::function<void()> arrive) {
  if (cut(from, to)) {
    later(20 * kMs, [this, from, to, arrive = std::move(arrive)] { stream(from, to, arrive); });
  } else {
    later(between(kMs / 2, 6 * kMs), std::move(arrive));
  }
}

// Lost, late, doubled or in another order.
void World::deliver(int from, int to, std::function<void()> arrive) {
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
  if (chance() < twice_) later(delay + between(0, 50 * kMs), at_door);
  later(delay, std::move(at_door));
}

void World::violate(int& count, const std::string& what) {
  ++count;
  if (result_.first.empty()) {
    result_.first =
        "seed " + std::to_string(options_.seed) + " at " + std::to_string(now_ / kMs) + " ms: " + what;
  }
}

// ---- Instances

void World::start(Control& control) {
  if (control.retired) return;
  agreement::ReplicaOptions options;
  options.id = static_cast<std::uint64_t>(control.place + 1);
  options.address = std::to_string(control.place + 1);
  options.raft.fleet = "world";
  options.raft.snapshot_after = 40;  // so that snapshots come often
  options.raft.snapshot_trailing = 10;
  control.instance = std::make_unique<ControlReplica>(
      options, *control.disk, *control.line, fleet(), true, [this, &control] { return now_ + control.ahead; },
      random_(), [](const std::string&) {});
  control.rollout_controller = std::make_unique<releases::RolloutController>([](const std::string&) {});
  control.instance->set_section(control.rollout_controller.get());
  control.instance->start();
  control.up_since = now_;
  int incarnation = ++control.incarnation;
  later(between(0, kTick), [this, &control, incarnation] {
    if (incarnation == control.incarnation) run_control(control);
  });
}

void World::kill(Control& control) {
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

void World::run_control(Control& control) {
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
    ++result_.refused_folders;
    control.retired = true;
    return kill(control);
  }
  const agreement::ReplicatedState& state = control.instance->agreed();
  std::uint64_t number = state.epoch().number;
  auto [seen, first] = digests_.emplace(number, 0);
  std::uint64_t digest = state.digest();
  if (first) seen->second = digest;
  if (seen->second != digest) {
    violate(result_.lost_entries, "instance " + std::to_string(control.place + 1) + " has another state at " +
                                      std::to_string(number));
  }
  if (number > agreed_) follow_trips(state);
  agreed_ = std::max(agreed_, number);
  result_.decisions = agreed_;
  serve(control);
  later(kTick, [this, &control, incarnation] {
    if (incarnation == control.incarnation) run_control(control);
  });
}

// The rule of the discovery service: what is agreed goes to those who are agreed; out of touch with a
// majority, a stream that is new gets a set without an open shard, and the others nothing.
void World::serve(Control& control) {
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

// ---- Releases

void World::follow_trips(const agreement::ReplicatedState& state) {
  const agreement::MaintenanceState& outings = state.maintenance();
  for (const auto& [node, trip] : outings.leases()) {
    if (trip.phase == agreement::MaintenancePhase::kRestarting) let_go_[node] = now_;
  }
  result_.releases = std::max(result_.releases, static_cast<int>(outings.release().id()));
  bool finished = outings.release().phase() == agreement::PHASE_DONE && outings.release().reason().empty();
  if (finished && bad_.erase(outings.release().plan().version()) > 0)
    violate(result_.bad_finished, "a bad version is everywhere");
}

// What a server does with an order that tells it to start anew.
void World::obey(Node& node, const ShardAssignment& order, Nanos asked_at) {
  if (!order.restart_as || now_ - asked_at > kFresh) return;
  auto leave = let_go_.find(node.name);
  if (leave == let_go_.end() || now_ - leave->second > kRace)
    violate(result_.unpermitted, node.name + " goes though nobody agreed to it");
  ++result_.restarts;
  node.alive = false;
  node.chosen = true;
  auto out = std::count_if(nodes_.begin(), nodes_.end(), [](const auto& one) { return one->chosen; });
  if (out > options_.max_unavailable) violate(result_.over, std::to_string(out) + " nodes are out by choice");
  // Now and then it comes back in another version, or late.
  std::uint32_t version = chance() < 0.03 ? node.version : *order.restart_as;
  later(chance() < 0.03 ? 8 * kSecond : between(200 * kMs, 2 * kSecond), [this, &node, version] {
    if (node.alive) return;
    node.alive = true;
    ++node.incarnation;
    node.sequence = node.in_time = 0;
    node.version = version;
    node.warm_at = now_ + 500 * kMs;
    if (node.store) return;
    node.ran.clear();
    node.fence = {};
    node.highest = {};
  });
}

// Any operator, any instance, any time.
void World::operate() {
  later(between(kSecond, 6 * kSecond), [this] {
    if (now_ < options_.faults_for) operate();
  });
  Control& one = *controls_[static_cast<std::size_t>(pick(options_.instances))];
  if (!one.instance || !one.instance->has_quorum()) return;
  const agreement::MaintenanceState& outings = one.instance->agreed().maintenance();
  if (chance() < 0.15) {
    std::string node = nodes_[static_cast<std::size_t>(pick(options_.nodes))]->name;
    one.instance->submit_command((outings.drains().empty() ? "drain " : "undrain ") +
                                 (outings.drains().empty() ? node : *outings.drains().begin()));
    return;
  }
  if (outings.release_in_progress()) {
    constexpr const char* kSaid[] = {"release halt", "release resume", "release back", "release resume",
                                     "release end"};
    one.instance->submit_command(kSaid[pick(5)]);
    return;
  }
  agreement::Plan plan;
  plan.set_name("r");
  plan.set_version(next_version_++ % 90 + 1);
  plan.set_first_nodes(2);
  for (std::uint32_t share : {700u, 1000u}) plan.add_waves(share);
  plan.set_soak_ns(1500 * kMs);
  plan.set_longest_soak_ns(8 * kSecond);
  plan.set_empty_within_ns(4 * kSecond);
  plan.set_back_within_ns(5 * kSecond);
  plan.set_warm_within_ns(6 * kSecond);
  plan.set_way_back(chance() < 0.7);
  plan.set_most_failed(1);
  plan.set_least_exchanges(5);
  plan.set_worse_by(100);
  plan.set_good_within(300);
  plan.set_slower_by(500);
  plan.set_false_halts(100);
  plan.set_false_goods(100);
  plan.set_alarm(900);
  plan.set_alarm_for_ns(3 * kSecond);
  if (chance() < 0.3) bad_.insert(plan.version());
  one.instance->submit_command(releases::release_start_command(plan));
}

// ---- Servers and proxies

void World::run_node(Node& node) {
  later(kReportEvery, [this, &node] { run_node(node); });
  if (!node.alive) return;
  report::LoadReport report;
  report.node = node.name;
  report.address = "127.0.0.1:" + std::to_string(node.place);
  report.incarnation = node.incarnation;
  report.sequence = ++node.sequence;
  report.sent_unix = kUnixStart + now_;
  report.engine_up = true;
  report.window = 16;
  report.limit = 4;
  report.obeys = true;
  if (node.fence.assignment()) report.epoch = node.fence.assignment()->epoch;
  report.version = static_cast<std::uint8_t>(node.version);
  report.warming_up = now_ < node.warm_at;
  if (!report.warming_up) node.chosen = false;
  if (!bad_.contains(node.version)) node.in_time += 8;
  report.request_classes.push_back({"book", 8 * node.sequence, 0, 8 * node.sequence, node.in_time, 0});
  Nanos asked_at = now_;
  for (auto& control : controls_) {
    deliver(node.place, control->place, [this, &node, &to = *control, report, asked_at] {
      if (!to.instance) return;
      to.instance->router().handle_report_connection(node.name, true, now_ + to.ahead);
      to.instance->router().handle_report(report, now_ + to.ahead, kUnixStart + now_);
      if (to.instance->agreed().epoch().number >= agreed_) follow_trips(to.instance->agreed());
      ShardAssignment order = to.instance->assignment_for(node.name);
      if (order.restart_as && !to.instance->has_quorum()) return;
      deliver(to.place, node.place, [this, &node, order, asked_at, incarnation = report.incarnation] {
        if (!node.alive || node.incarnation != incarnation) return;
        if (order.restart_as && now_ - asked_at > kFresh) return;
        FencingGuard::Verdict verdict = node.fence.accept(order, node.incarnation);
        if (verdict == FencingGuard::Verdict::kAccepted) {
          if (order.epoch < node.highest) violate(result_.stale_acted, node.name + " took an older order");
          node.highest = order.epoch;
          obey(node, order, asked_at);
        }
      });
    });
  }
}

void World::run_proxy(Proxy& proxy) {
  later(100 * kMs, [this, &proxy] { run_proxy(proxy); });
  if (proxy.at >= 0) {
    bool broken = cut(proxy.place, proxy.at) || cut(proxy.at, proxy.place);
    bool known = controls_[static_cast<std::size_t>(proxy.at)]->streams.contains(proxy.place);
    if (!broken && known) proxy.cut_since = now_;
    if (now_ - proxy.cut_since > kStreamBreaks) {
      controls_[static_cast<std::size_t>(proxy.at)]->streams.erase(proxy.place);
      proxy.at = -1;
    }
  }
  if (proxy.at < 0 && chance() < 0.5) connect(proxy);
}

void World::connect(Proxy& proxy) {
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

void World::send_key() {
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

void World::try_key(std::shared_ptr<Key> key) {
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

void World::arrive(Node& node, std::shared_ptr<Key> key) {
  if (!node.alive || (options_.fences && !node.fence.admits(key->text))) {
    ++result_.rejected;
    return;
  }
  if (!node.ran.insert(key->number).second) return;  // it knows the result
  ++result_.runs;
  key->ran_at.push_back(node.place);
  if (key->ran_at.size() > 1) {
    violate(result_.doubled, "key " + key->text + " ran at " + std::to_string(key->ran_at[0]) + " and " +
                                 std::to_string(node.place));
  }
}

// ---- Faults

void World::fault() {
  later(static_cast<Nanos>(static_cast<double>(kSecond) / options_.faults_per_s * (0.3 + 1.4 * chance())),
        [this] {
          if (now_ < options_.faults_for) fault();
        });
  if (now_ < calm_until_) return;
  ++result_.faults;
  int all = options_.instances;
  Control& one = *controls_[static_cast<std::size_t>(pick(all))];
  Node& node = *nodes_[static_cast<std::size_t>(pick(options_.nodes))];
  Proxy& proxy = *proxies_[static_cast<std::size_t>(pick(options_.proxies))];
  Nanos length = between(300 * kMs, 7 * kSecond);
  auto cut_for = [this](int from, int to, Nanos how_long) {
    cuts_.insert({from, to});
    later(how_long, [this, from, to] { cuts_.erase({from, to}); });
  };
  auto kill_for = [this](Control& which, Nanos how_long) {
    kill(which);
    later(how_long, [this, &which] {
      if (!which.instance) start(which);
    });
  };
  switch (pick(16)) {
    case 0: {
      Control* leader = &one;
      for (auto& control : controls_) {
        if (control->instance && control->instance->is_deciding()) leader = control.get();
      }
      kill_for(*leader, length);
      break;
    }
    case 1:
      kill_for(one, length);
      break;
    case 2:
      one.paused_until = now_ + length;
      break;
    case 3:
      cut_for(one.place, pick(all), length);  // one way
      break;
    case 4: {
      int side = 1 + pick((1 << all) - 2);
      for (int a = 0; a < all; ++a) {
        for (int b = 0; b < all; ++b) {
          if ((side >> a & 1) != (side >> b & 1)) cut_for(a, b, length);
        }
      }
      break;
    }
    case 5:
      for (int other = 0; other < all; ++other) {
        slow_[{one.place, other}] = kSecond;
        later(length, [this, from = one.place, other] { slow_.erase({from, other}); });
      }
      break;
    case 6: {
      int other = pick(all);
      for (Nanos at = 0; at < length; at += 300 * kMs) {
        later(at, [cut_for, from = one.place, other] {
          cut_for(from, other, 150 * kMs);
          cut_for(other, from, 150 * kMs);
        });
      }
      break;
    }
    case 7:
      one.disk->sick = true;
      later(length, [&one] { one.disk->sick = false; });
      break;
    case 8:
      one.ahead += between(kSecond, 20 * kSecond);
      break;
    case 9:
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
      break;
    case 10:
      for (auto& control : controls_) {
        if (chance() < 0.6) cut_for(node.place, control->place, length);
        if (chance() < 0.6) cut_for(control->place, node.place, length);
      }
      break;
    case 11:
      if (proxy.at >= 0) controls_[static_cast<std::size_t>(proxy.at)]->streams.erase(proxy.place);
      proxy.at = -1;
      proxy.set = nullptr;
      break;
    case 12:
      for (auto& control : controls_) {
        if (chance() < 0.5) cut_for(proxy.place, control->place, length);
        if (chance() < 0.5) cut_for(control->place, proxy.place, length);
      }
      break;
    case 13:
      loss_ = 0.25;
      twice_ = 0.2;
      later(length, [this] { loss_ = twice_ = 0; });
      break;
    case 14:
      for (auto& control : controls_) kill_for(*control, length + between(0, kSecond));
      break;
    default: {
      // Put back from an older copy, once, while the others run: it has to find out, and is taken out by its
      // operators.
      bool all_up = std::all_of(controls_.begin(), controls_.end(), [&](const auto& control) {
        return control->instance && control->paused_until <= now_ && control->instance->storage_verified() &&
               control->up_since + kSecond < now_;
      });
      if (put_back_ || !all_up) break;
      put_back_ = true;
      one.disk->copy = one.disk->kept;
      later(between(2 * kSecond, 6 * kSecond), [this, &one] {
        bool others_up = std::all_of(controls_.begin(), controls_.end(), [&](const auto& control) {
          return control.get() == &one || (control->instance && control->up_since + 6 * kSecond < now_ &&
                                           control->paused_until <= now_);
        });
        // A second fault at once is more than three instances stand.
        if (!others_up || !cuts_.empty() || !slow_.empty() || loss_ > 0) return;
        calm_until_ = now_ + 4 * kSecond;
        kill(one);
        one.disk->kept = one.disk->copy;
        start(one);
      });
      break;
    }
  }
}

void World::heal() {
  cuts_.clear();
  slow_.clear();
  loss_ = twice_ = 0;
  for (auto& control : controls_) {
    control->disk->sick = false;
    if (control->instance && control->instance->raft_node().role() == consensus::Role::kUnavailable)
      kill(*control);
    if (!control->instance) start(*control);
  }
}

void World::look() {
  later(50 * kMs, [this] { look(); });
  std::vector<const std::string*> owners(std::size_t{1} << (4 * options_.shard_digits), nullptr);
  for (const auto& proxy : proxies_) {
    if (!proxy->set || proxy->closed) continue;
    const routing::Snapshot& set = proxy->set->snapshot;
    for (std::size_t at = 0; at < set.shards.size(); ++at) {
      if (set.shards[at] == routing::kClosed) continue;
      const std::string& owner = set.nodes[static_cast<std::size_t>(set.shards[at])].name;
      if (owners[at] && *owners[at] != owner)
        violate(result_.split_owners,
                "shard " + std::to_string(at) + " is open at " + owner + " and " + *owners[at]);
      owners[at] = &owner;
    }
  }
}

WorldResult World::play() {
  for (auto& control : controls_) start(*control);
  for (auto& node : nodes_) later(between(0, kReportEvery), [this, &one = *node] { run_node(one); });
  for (auto& proxy : proxies_) later(between(0, kSecond), [this, &one = *proxy] { run_proxy(one); });
  later(kSecond, [this] { send_key(); });
  later(3 * kSecond, [this] { fault(); });
  if (options_.releases) later(4 * kSecond, [this] { operate(); });
  later(kSecond, [this] { look(); });
  later(options_.faults_for + 8 * kSecond, [this] { heal(); });
  Nanos end = options_.faults_for + 8 * kSecond + options_.quiet_for;
  while (!queue_.empty() && queue_.top().at <= end) {
    now_ = queue_.top().at;
    auto happen = queue_.top().happen;
    queue_.pop();
    happen();
  }
  int leaders = 0;
  for (auto& control : controls_) {
    if (control->retired) continue;
    const ControlReplica& instance = *control->instance;
    leaders += instance.is_deciding();
    result_.wrong_drafts += static_cast<int>(instance.invalid_proposals());
    std::string who = "instance " + std::to_string(control->place + 1);
    if (!instance.has_quorum())
      violate(result_.not_back,
              who + " is out of touch after the quiet, " + consensus::name_of(instance.raft_node().role()));
    if (instance.agreed().epoch().number + 3 < agreed_)
      violate(result_.lost_entries, who + " lacks what was agreed");
    // Operators may have left servers out.
    std::size_t closed =
        instance.agreed().maintenance().leases().empty() ? instance.agreed().closed_shards() : 0;
    if (closed > 0)
      violate(result_.not_back, who + " has " + std::to_string(closed) + " shards closed after the quiet");
  }
  if (leaders != 1) violate(result_.not_back, std::to_string(leaders) + " leaders after the quiet");
  return result_;
}

}  // namespace myrtlecroft::rehearsal
