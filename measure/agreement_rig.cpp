#include "agreement_rig.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <regex>
#include <set>
#include <sstream>
#include <vector>

#include "../standin/ads_link.h"
#include "../standin/child.h"
#include "../standin/control_fleet.h"
#include "../standin/engine.h"
#include "../standin/no_log.h"
#include "../standin/node_config.h"
#include "../standin/proxy.h"
#include "../standin/relay.h"
#include "control/admin_client.h"
#include "net/address.h"
#include "operator.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr Nanos kWindow = 2000 * kMs;
constexpr Nanos kTimeout = 800 * kMs;
constexpr Nanos kSettle = 8 * kSecond;  // after the last fault
constexpr Nanos kMissed = 600 * kMs;    // a leader that stands still for less is not replaced
constexpr int kDigits = 16;             // shards
constexpr Nanos kReadSlo = 500 * kMs;
constexpr Nanos kReadTimeout = 1500 * kMs;
constexpr Nanos kCold = 200 * kMs;      // of an engine that started
constexpr Nanos kNoticed = 1500 * kMs;  // a server that fails is known to have failed
constexpr int kStartMeAs = 100;         // exit code
constexpr int kMaxResumes = 2;          // of a release that is good and was halted
constexpr Nanos kLongestRelease = 120 * kSecond;

// Groups of reads, beside the keyed one.
constexpr const char* kReads[] = {"look-up", "search"};

standin::Behaviour behaviour_of(Bad bad) {
  switch (bad) {
    case Bad::kSlow:
      return {.slow = 4, .after = 0, .from_runs = 0, .request_class = "", .silent = false};
    case Bad::kUnderLoad:
      return {.slow = 4, .after = 0, .from_runs = 2, .request_class = "", .silent = false};
    case Bad::kLater:
      return {.slow = 5, .after = 4 * kSecond, .from_runs = 0, .request_class = "", .silent = false};
    case Bad::kOneClass:
      return {.slow = 5, .after = 0, .from_runs = 0, .request_class = "search", .silent = false};
    case Bad::kLost:
      return {.slow = 1, .after = 0, .from_runs = 0, .request_class = "", .silent = true};
    default:
      return {};
  }
}

using standin::free_port;
using standin::on_loopback;

// Lines that a process has written since the last look.
class Tail {
 public:
  explicit Tail(std::string path) : path_(std::move(path)) {}
  template <class Tell>
  void each(Tell tell) {
    std::ifstream in(path_);
    in.seekg(place_);
    for (std::string line; std::getline(in, line) && !in.eof();) {
      place_ = in.tellg();
      tell(line);
    }
  }

 private:
  std::string path_;
  std::streamoff place_ = 0;
};

class Rig {
 public:
  explicit Rig(const RigOptions& options)
      : options_(options),
        random_(options.seed),
        random_faults_(options.seed + 77),
        database_(loop_, log_),
        beat_(loop_.base(), [this] { beat(); }) {
    char name[] = "/tmp/myrtlecroft_rig.XXXXXX";
    folder_ = mkdtemp(name);
  }
  ~Rig() {
    operator_.reset();
    proxies_.clear();
    links_.clear();
    nodes_.clear();
    control_.reset();
    instances_.clear();
    if (result_.violations() == 0) std::filesystem::remove_all(folder_);
  }

  RigResult run() {
    make_places();
    write_files();
    for (int i = 0; i < options_.incident.instances; ++i) start_instance(i, true);
    for (int i = 0; i < options_.incident.nodes; ++i) start_node(i);
    for (int i = 0; i < options_.incident.proxies; ++i) make_proxy(i);
    wait_for([this] { return ready(); }, 30 * kSecond);
    std::vector<int> admins;
    for (const auto& place : control_->all()) admins.push_back(place.admin);
    if (options_.agreed) operator_ = std::make_unique<Operator>(admins);
    begun_ = next_key_ = next_read_ = loop_.now();
    result_.allowed = static_cast<int>(options_.incident.max_unavailable * options_.incident.nodes + 1e-9);
    if (options_.incident.services > 0)
      result_.below_allowed = static_cast<int>(options_.incident.service_max_unavailable *
                                                   options_.incident.nodes / options_.incident.services +
                                               1e-9);
    next_fault_ = begun_ + kSecond;
    beat_.set(0);
    loop_.run();
    operator_.reset();
    finish();
    if (result_.violations() > 0) result_.folder = folder_;
    return result_;
  }

 private:
  struct InstancePlace {
    std::vector<std::unique_ptr<standin::Relay>> peers;  // to each other
    std::unique_ptr<Tail> log;
    bool stopped = false;
    bool lost = false;  // its folder
  };
  struct NodePlace {
    int port = 0;
    standin::Child process;
    std::unique_ptr<standin::FaultFile> faults;
    std::unique_ptr<standin::Engine> engine;
    std::vector<std::unique_ptr<standin::Relay>> reports;  // to each instance
    std::unique_ptr<Tail> log;
    std::pair<std::uint64_t, std::uint64_t> epoch{};
    Nanos killed_at = 0;
    bool alive = false;
    int version = 1;
    bool planned = false;  // went as it was told
    bool chosen = false;   // out by choice: from when proxies send it nothing until it is back
  };
  struct Going {
    ReleaseSeen seen;
    Nanos begun = 0;
    Nanos stopped = 0;
    std::uint64_t id = 0;
    int resumes = 0;
    bool told = false;  // to go back, after a halt
  };

  std::string file(const std::string& name) const { return folder_ + "/" + name; }
  std::string name(int node) const { return "n" + std::to_string(node + 1); }

  void make_places() {
    control_ = std::make_unique<standin::ControlFleet>(
        standin::ControlFleetOptions{.folder = folder_,
                                     .fleet = file("fleet.conf"),
                                     .instances = options_.incident.instances,
                                     .agreed = options_.agreed,
                                     .more = {}},
        taken_);
    for (int i = 0; i < options_.incident.instances; ++i) {
      instances_.emplace_back();
      InstancePlace& one = instances_.back();
      one.log = std::make_unique<Tail>(control_->log(i));
      std::string& reach = (*control_)[i].reach;
      for (int k = 0; k < options_.incident.instances; ++k) {
        one.peers.push_back(
            std::make_unique<standin::Relay>(loop_, static_cast<std::uint16_t>((*control_)[k].peer)));
        if (k == i) continue;
        reach +=
            (reach.empty() ? "" : ",") + std::to_string(k + 1) + "=" + on_loopback(one.peers.back()->port());
      }
    }
    for (int i = 0; i < options_.incident.nodes; ++i) {
      nodes_.emplace_back();
      NodePlace& node = nodes_.back();
      node.port = free_port(taken_);
      node.faults = std::make_unique<standin::FaultFile>(file("faults-" + name(i)));
      node.engine = std::make_unique<standin::Engine>(loop_, log_, name(i), 2,
                                                      [this](const standin::RunSeen& run) { ran(run); });
      if (options_.incident.reads_per_s > 0) node.engine->queue_for_cores();
      for (const auto& one : control_->all()) {
        node.reports.push_back(
            std::make_unique<standin::Relay>(loop_, static_cast<std::uint16_t>(one.reports)));
      }
      node.log = std::make_unique<Tail>(file(name(i) + ".log"));
    }
  }

  void write_files() {
    std::ofstream out(file("fleet.conf"));
    out << std::fixed << std::setprecision(3);
    out << "version = 1; listener = \"fleet\"; proxies = " << options_.incident.proxies << "; nodes = (";
    for (int i = 0; i < options_.incident.nodes; ++i) {
      out << (i ? ", " : "") << "{ name = \"" << name(i) << "\"; zone = \"z" << i % options_.incident.zones
          << "\"; capacity = 2; address = \"" << on_loopback(nodes_[static_cast<std::size_t>(i)].port)
          << "\"; }";
    }
    out << ");\ngroups = ({ name = \"booking\"; repeats = \"deduplicated\"; slo_ms = 400; timeout_ms = "
        << kTimeout / kMs << "; window_ms = " << kWindow / kMs << "; }";
    if (options_.incident.reads_per_s > 0) {
      for (const char* request_class : kReads)
        out << ", { name = \"" << request_class << "\"; repeats = \"repeatable\"; slo_ms = " << kReadSlo / kMs
            << "; timeout_ms = " << kReadTimeout / kMs << "; }";
    }
    out << ");\nservices = (";
    for (int k = 0; k < options_.incident.services; ++k) {
      out << (k ? ", " : "") << "{ name = \"below" << k
          << "\"; most_out = " << options_.incident.service_max_unavailable << "; used_by = (";
      for (int i = k; i < options_.incident.nodes; i += options_.incident.services)
        out << (i > k ? ", " : "") << '"' << name(i) << '"';
      out << "); }";
    }
    out << ");\noutings = { most_out = " << options_.incident.max_unavailable << "; reserve = 0.05; };\n"
        << "bounds = { silent_ms = 700; mute_ms = 700; dwell_ms = 500; ramp_ms = 500; shard_digits = 1; "
           "settle_ms = 50; };\n";
    for (int i = 0; i < options_.incident.nodes; ++i) {
      NodePlace& node = nodes_[static_cast<std::size_t>(i)];
      std::ofstream settings(file(name(i) + ".conf"));
      settings << "version = 1; reports = { to = (";
      for (std::size_t k = 0; k < node.reports.size(); ++k)
        settings << (k ? ", " : "") << '"' << on_loopback(node.reports[k]->port()) << '"';
      std::string reads;
      for (const char* request_class : kReads) {
        if (options_.incident.reads_per_s <= 0) break;
        reads += std::string(R"(,{"name":")") + request_class +
                 R"(","effect":"idempotent","gain":1,"goalTimeNs":)" + std::to_string(kReadSlo) +
                 R"(,"hardLimitNs":)" + std::to_string(kReadTimeout) + "}";
      }
      settings << "); every_ms = 100; obey = " << (options_.agreed ? "true" : "false") << "; };\n";
      standin::write_node_config(
          file(name(i) + ".json"),
          {.name = name(i),
           .port = node.port,
           .engine = node.engine->port(),
           .database = database_.port(),
           .servers = options_.incident.nodes,
           .request_classes =
               R"({"name":"booking","effect":"deduplicated","gain":1,"goalTimeNs":400000000,"hardLimitNs":)" +
               std::to_string(kTimeout) + R"(,"dedupWindowNs":)" + std::to_string(kWindow) + "}" + reads,
           .family = R"("nCores":2,"ramKb":60000,"blowup":8,"keyKb":4,"idleNs":30000000000)"});
    }
  }

  void start_instance(int i, bool first) {
    control_->start(i, first ? standin::ControlFleet::Start::kFirst : standin::ControlFleet::Start::kAgain);
    instances_[static_cast<std::size_t>(i)].stopped = false;
  }

  void start_node(int i) {
    NodePlace& node = nodes_[static_cast<std::size_t>(i)];
    node.engine->restart(begun_ > 0 ? kCold : 0);
    auto behaviour = behaviours_.find(node.version);
    node.engine->behave(behaviour == behaviours_.end() ? standin::Behaviour{} : behaviour->second);
    auto variables = node.faults->variables(MYRTLECROFT_FAULTY);
    variables.emplace_back("LB_CONFIG", file(name(i) + ".json"));
    variables.emplace_back("MYRTLECROFT_SETTINGS", file(name(i) + ".conf"));
    variables.emplace_back("MYRTLECROFT_RELEASE", std::to_string(node.version));
    node.process = standin::Child({MYRTLECROFT_PROGRAM}, file(name(i) + ".log"), variables);
    node.alive = true;
    node.planned = false;
    node.epoch = {};
  }

  void make_proxy(int i) {
    links_.push_back(
        std::make_unique<standin::AdsLink>(control_->discovery(i), i % 2 == 0, "p" + std::to_string(i)));
    held_.emplace_back();
    proxies_.push_back(std::make_unique<standin::Proxy>(
        loop_, log_, [link = links_.back().get()] { return link->applied(); }, i + 1,
        options_.seed + 100 + static_cast<unsigned>(i)));
  }

  void wait_for(const std::function<bool()>& what, Nanos longest) {
    Nanos until = loop_.now() + longest;
    net::Timer look(loop_.base(), [&] { what() || loop_.now() > until ? loop_.stop() : look.set(5 * kMs); });
    look.set(0);
    loop_.run();
  }

  // Every proxy has a set, and a server completes what it is sent.
  bool ready() {
    for (const auto& link : links_) {
      if (!link->applied()) return false;
    }
    if (!probing_) {
      probing_ = true;
      send(make_key(), -1, [this](const standin::Ended& ended) {
        probing_ = false;
        ready_ += ended.kind == standin::Ended::Kind::kCompleted;
      });
    }
    return ready_ >= 20;
  }

  // ---- Load

  std::string make_key() {
    char key[33];
    std::snprintf(key, sizeof key, "%08x%08x%08x%08x", static_cast<unsigned>(random_()),
                  static_cast<unsigned>(random_()), static_cast<unsigned>(random_()),
                  static_cast<unsigned>(random_()));
    return key;
  }
  // Keyed, or a read of one of the groups.
  void send(const std::string& key, int read, std::function<void(const standin::Ended&)> ended) {
    std::string request_class = read < 0 ? "booking" : kReads[read];
    std::ostringstream body;
    body << request_class << ' ' << key << ' ' << (read < 0 ? 3 : options_.incident.read_ms) << " 0";
    standin::Request request{.path = "/api/v2/" + request_class,
                             .key = read < 0 ? key : "",
                             .body = body.str(),
                             .accepted_unix = net::Loop::unix_now(),
                             .wait = read < 0 ? kTimeout : kReadTimeout,
                             .expected_ms = read < 0 ? 20 : static_cast<int>(options_.incident.read_ms)};
    proxies_[random_() % proxies_.size()]->send(std::move(request), std::move(ended));
  }

  struct Client {
    std::string key;
    Nanos born = 0;
    int read = -1;  // its group; below 0: keyed
    int tries = 0;
    bool done = false;
  };
  // A client comes again by its key, through any proxy, until it is told the result; and some come again all
  // the same.
  void attempt(const std::shared_ptr<Client>& client) {
    ++client->tries;
    send(client->key, client->read, [this, client](const standin::Ended& ended) {
      if (ended.cut) judge_cut(ended.cut_node);
      bool completed = ended.kind == standin::Ended::Kind::kCompleted;
      if (completed && !client->done) {
        ++result_.completed;
        ++seconds_[static_cast<int>((client->born - begun_) / kSecond)].completed;
        client->done = true;
      }
      bool keyed = client->read < 0;
      bool again = !completed || (keyed && client->tries == 1 && random_() % 4 == 0);
      Nanos pause = std::clamp(ended.retry_after, 50 * kMs, 300 * kMs);
      Nanos patience = keyed ? kWindow - 100 * kMs : kReadTimeout;
      if (again && loop_.now() + pause < client->born + patience) {
        later_.emplace(loop_.now() + pause, [this, client] { attempt(client); });
      }
    });
  }
  // An answer that never came, of a server that was not killed.
  void judge_cut(const std::string& address) {
    for (const NodePlace& node : nodes_) {
      if (on_loopback(node.port) != address || loop_.now() - node.killed_at <= 2 * kReadTimeout) continue;
      ++(node.planned ? result_.drain_violations : result_.lost);
      note("no answer from " + address);
      add_note("no answer from " + name(static_cast<int>(&node - nodes_.data())));
    }
  }

  void ran(const standin::RunSeen& run) {
    if (begun_ == 0 || run.request_class != "booking") return;
    ++result_.runs;
    auto [first, fresh] = ran_.emplace(run.key, std::make_pair(run.node, run.at));
    if (!fresh && run.at < first->second.second + kWindow) {
      ++result_.doubled;
      note("key " + run.key + " ran at " + first->second.first + " and " + run.node);
    }
  }

  // ---- What is seen from outside

  void note(const std::string& what) {
    if (result_.first.empty()) result_.first = std::to_string((loop_.now() - begun_) / kMs) + " ms: " + what;
  }

  void look_at_sets() {
    for (std::size_t i = 0; i < links_.size(); ++i) {
      auto set = links_[i]->applied();
      if (set && held_[i].set != set) held_[i] = {set, owners_of(*set), members_of(*set)};
    }
    for (int digit = 0; digit < kDigits; ++digit) {
      const std::string* owner = nullptr;
      for (const Held& held : held_) {
        if (!held.set || held.owners[static_cast<std::size_t>(digit)].empty()) continue;
        const std::string& own = held.owners[static_cast<std::size_t>(digit)];
        if (owner && *owner != own &&
            split_.insert({digit, *owner < own ? *owner + own : own + *owner}).second) {
          ++result_.split_owners;
          note("shard " + std::to_string(digit) + " is open at " + *owner + " and " + own);
        }
        owner = &own;
      }
    }
  }

  // Servers that get what has no key.
  static std::set<std::string> members_of(const standin::AppliedSet& set) {
    std::set<std::string> out;
    auto found = set.endpoints.find(std::string("group/") + kReads[0]);
    if (found == set.endpoints.end()) return out;
    for (const auto& place : found->second->endpoints()) out.insert(place.locality().sub_zone());
    return out;
  }

  // The cluster of one server that each shard's keys go to; empty: closed.
  static std::vector<std::string> owners_of(const standin::AppliedSet& set) {
    std::vector<std::string> out(kDigits);
    for (const auto& host : set.routes->virtual_hosts()) {
      for (const auto& route : host.routes()) {
        if (!route.has_route() || route.match().headers_size() == 0) continue;
        std::string pattern = route.match().headers(0).safe_regex_match().regex();
        std::regex matches(pattern.starts_with("(?i)") ? pattern.substr(4) : pattern);
        for (int digit = 0; digit < kDigits; ++digit) {
          std::string key(1, "0123456789abcdef"[digit]);
          if (std::regex_match(key + "0", matches))
            out[static_cast<std::size_t>(digit)] = route.route().cluster();
        }
      }
    }
    return out;
  }

  void look_at_logs() {
    static const std::regex acts(R"(acts on epoch (\d+) of term (\d+))");
    for (NodePlace& node : nodes_) {
      node.log->each([&](const std::string& line) {
        std::smatch match;
        if (line.find("leaves to be started as") != std::string::npos) told_to_leave(node);
        if (line.find("started as") != std::string::npos) node.epoch = {};
        if (!std::regex_search(line, match, acts)) return;
        std::pair<std::uint64_t, std::uint64_t> epoch{std::stoull(match[2]), std::stoull(match[1])};
        if (epoch < node.epoch) ++result_.stale_acted, note("a node acted on an older order: " + line);
        node.epoch = epoch;
      });
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      instances_[i].log->each([&](const std::string& line) {
        if (line.find(" deciding, term ") == std::string::npos) return;
        leader_ = static_cast<int>(i);
        Second& row = seconds_[second()];
        row.notes +=
            (row.notes.empty() ? "" : "; ") + std::string("instance ") + std::to_string(i + 1) + " decides";
        if (fallen_at_ == 0) return;
        failovers_.push_back(static_cast<double>(loop_.now() - fallen_at_) / 1e6);
        fallen_at_ = 0;
      });
    }
  }

  // ---- Servers that go as they are told, and come back

  void told_to_leave(NodePlace& node) {
    node.planned = true;
    choose(node);
    bool under_way = going_ && !(going_->stopped > 0 && going_->seen.outcome == "halted" &&
                                 loop_.now() - going_->stopped > kNoticed);
    if (!under_way) ++result_.unpermitted, note("a node left though nothing was under way");
  }

  // What starts servers again, as an installation would: in the version that the exit code names.
  void supervise() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      NodePlace& node = nodes_[i];
      if (!node.alive || !node.process.is_over()) continue;
      node.alive = false;
      int code = node.process.code();
      if (options_.plain_batches && code == 0) {
        code = kStartMeAs + node.version;
      } else if (code < kStartMeAs) {
        ++result_.crashed, note(name(static_cast<int>(i)) + " ended by itself with " + std::to_string(code));
        code = kStartMeAs + node.version;
      }
      node.planned = true;
      node.version = code - kStartMeAs;
      later(options_.incident.restart, [this, i] {
        if (!nodes_[i].alive) start_node(static_cast<int>(i));
      });
    }
  }

  bool sent_to(const std::string& node) const {
    return std::any_of(held_.begin(), held_.end(),
                       [&](const Held& held) { return held.members.contains(node); });
  }

  // More by choice than may be: together with what has failed for long enough to be known.
  void choose(NodePlace& node) {
    if (node.chosen) return;
    node.chosen = true;
    int failed = 0;
    for (const NodePlace& one : nodes_) {
      bool dead = !one.alive && !one.planned && loop_.now() - one.killed_at > kNoticed;
      failed += dead && !one.chosen;
    }
    if (chosen() + failed > result_.allowed && !options_.plain_batches)
      ++result_.over,
          note(std::to_string(chosen()) + " are out by choice and " + std::to_string(failed) + " failed");
  }
  int chosen() const {
    return static_cast<int>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const auto& one) { return one.chosen; }));
  }

  void look_at_nodes() {
    if (options_.incident.reads_per_s <= 0) return;
    std::map<int, int> below;
    std::set<std::string> trips;
    if (operator_) {
      control::AdminAnswer status = operator_->status();
      for (const control::MaintenanceLeaseRow& row : status.trips()) trips.insert(row.node());
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      NodePlace& node = nodes_[i];
      bool gets = sent_to(name(static_cast<int>(i)));
      // That it is by choice and not for its health is the agreed state's word; that it gets nothing is the
      // proxies'.
      if (!gets && trips.contains(name(static_cast<int>(i)))) choose(node);
      if (gets && node.alive && !node.planned && !node.engine->warming_up()) node.chosen = false;
      if (options_.incident.services > 0)
        below[static_cast<int>(i) % options_.incident.services] += node.chosen;
    }
    result_.max_unavailable = std::max(result_.max_unavailable, chosen());
    for (const auto& [service, out] : below) {
      result_.below_max_unavailable = std::max(result_.below_max_unavailable, out);
      if (out > result_.below_allowed && !options_.plain_batches)
        ++result_.over, note(std::to_string(out) + " of a service are out by choice");
    }
  }

  // ---- Releases, as operators see them through

  agreement::Plan plan_of(const ReleaseWanted& wanted) const {
    agreement::Plan plan;
    plan.set_name(name_of(wanted.bad));
    plan.set_version(static_cast<std::uint32_t>(wanted.to));
    plan.set_first_nodes(static_cast<std::uint32_t>(options_.incident.first_nodes));
    for (std::uint32_t share : {100u, 400u, 1000u}) plan.add_waves(share);
    plan.set_soak_ns(options_.incident.soak);
    plan.set_longest_soak_ns(5 * options_.incident.soak);
    plan.set_empty_within_ns(6 * kSecond);
    plan.set_back_within_ns(8 * kSecond);
    plan.set_warm_within_ns(15 * kSecond);
    plan.set_way_back(true);
    plan.set_most_failed(static_cast<std::uint32_t>(std::max(1, options_.incident.nodes / 20)));
    plan.set_least_exchanges(6);
    plan.set_worse_by(100);
    plan.set_good_within(300);
    plan.set_slower_by(250);
    plan.set_false_halts(20);
    plan.set_false_goods(options_.incident.nodes < 12 ? 200 : 50);  // so few can show no more
    plan.set_alarm(400);
    plan.set_alarm_for_ns(5 * kSecond);
    plan.set_reserve(50);
    for (const char* request_class : kReads) plan.add_groups(request_class);
    return plan;
  }

  void run_releases() {
    Nanos now = loop_.now();
    if (!going_) {
      std::size_t next = result_.releases.size();
      if (next >= options_.incident.releases.size() || now < begun_ + options_.incident.releases[next].at)
        return;
      const ReleaseWanted& wanted = options_.incident.releases[next];
      behaviours_[wanted.to] = behaviour_of(wanted.bad);
      going_.emplace();
      going_->seen.wanted = wanted;
      going_->begun = now;
      going_->id = operator_->status().release().id() + 1;
      operator_->say(wanted.by, releases::release_start_command(plan_of(wanted)));
      add_note("release to " + std::to_string(wanted.to) + ", " + name_of(wanted.bad));
      return;
    }
    control::AdminAnswer status = operator_->status();
    const control::ReleaseRow& row = status.release();
    ReleaseSeen& seen = going_->seen;
    int with = 0;
    for (const NodePlace& node : nodes_) with += node.alive && node.version == seen.wanted.to;
    if (going_->stopped == 0)
      seen.reached = std::max(seen.reached, static_cast<double>(with) / static_cast<double>(nodes_.size()));
    if (row.id() < going_->id && now - going_->begun < kLongestRelease) return;
    if (seen.outcome != row.phase()) add_note("release " + row.phase());
    seen.outcome = row.phase();
    bool halted = row.phase() == "halted" || row.phase() == "halted on the way back";
    if ((halted || row.phase() == "going back") && going_->stopped == 0) {
      going_->stopped = now;
      seen.stopped = true;
      seen.reason = row.reason();
    }
    if (halted && now - going_->stopped > kSecond && !going_->told) {
      going_->told = true;
      bool goes_on = seen.wanted.bad == Bad::kNone && going_->resumes++ < kMaxResumes;
      operator_->say(seen.wanted.by, goes_on || row.phase() != "halted" ? "release resume" : "release back");
    }
    if (!halted && going_->told && row.phase() != "going back") going_->stopped = 0, going_->told = false;
    bool over = row.phase() == "done" || row.phase() == "taken back" || now - going_->begun > kLongestRelease;
    if (!over) return;
    seen.took_s = static_cast<double>(now - going_->begun) / 1e9;
    if (going_->stopped > 0) seen.back_s = static_cast<double>(now - going_->stopped) / 1e9;
    result_.releases.push_back(seen);
    going_.reset();
  }

  // Without any of it: as many as may be out at once, and a fixed time for each batch.
  void restart_in_batches() {
    constexpr Nanos kBatch = 4 * kSecond;
    std::size_t batch = static_cast<std::size_t>((loop_.now() - begun_) / kBatch);
    auto size = static_cast<std::size_t>(std::max(1, result_.allowed));
    for (; batches_ <= batch && batches_ * size < nodes_.size(); ++batches_) {
      for (std::size_t i = batches_ * size; i < std::min(nodes_.size(), (batches_ + 1) * size); ++i) {
        if (!nodes_[i].alive) continue;
        nodes_[i].planned = true;
        choose(nodes_[i]);
        nodes_[i].process.signal(SIGTERM);
      }
    }
  }

  void add_note(const std::string& what) {
    std::string& notes = seconds_[second()].notes;
    notes += (notes.empty() ? "" : "; ") + what;
  }

  // ---- Faults

  void later(Nanos delay, std::function<void()> what) {
    later_.emplace(loop_.now() + delay, std::move(what));
  }

  void fell(int instance) {
    if (instance == leader_ && fallen_at_ == 0) fallen_at_ = loop_.now();
  }
  void kill_instance(int i, Nanos for_long, bool lose) {
    InstancePlace& one = instances_[static_cast<std::size_t>(i)];
    standin::Child& process = (*control_)[i].process;
    if (process.pid() <= 0 || one.stopped) return;
    fell(i);
    process.end(SIGKILL);
    if (lose) std::filesystem::remove_all(control_->state(i));
    one.lost = one.lost || lose;
    later(for_long, [this, i, &process] {
      if (process.pid() <= 0) start_instance(i, false);
    });
  }
  void stop_instance(int i, Nanos for_long) {
    InstancePlace& one = instances_[static_cast<std::size_t>(i)];
    standin::Child& process = (*control_)[i].process;
    if (process.pid() <= 0 || one.stopped) return;
    fell(i);
    one.stopped = true;
    process.signal(SIGSTOP);
    later(for_long, [this, &one, &process, i, for_long] {
      process.signal(SIGCONT);
      one.stopped = false;
      // Too short for anybody to have missed it.
      if (leader_ == i && for_long < kMissed) fallen_at_ = 0;
    });
  }
  void kill_node(int i, Nanos for_long) {
    NodePlace& node = nodes_[static_cast<std::size_t>(i)];
    if (!node.alive) return;
    node.alive = node.planned = false;
    node.killed_at = loop_.now();
    node.process.end(SIGKILL);
    later(for_long, [this, i] { start_node(i); });
  }
  void stop_node(int i, Nanos for_long) {
    NodePlace& node = nodes_[static_cast<std::size_t>(i)];
    if (!node.alive) return;
    node.process.signal(SIGSTOP);
    later(for_long, [&node] { node.process.signal(SIGCONT); });
    node.killed_at = loop_.now() + for_long;  // what it does not answer meanwhile is not held against it
  }

  void fail_inside(int i, const Step& step) {
    const standin::FaultFile& faults = *(*control_)[i].faults;
    if (step.fault == Fault::kKillAtSync) {
      standin::Child& process = (*control_)[i].process;
      if (process.pid() <= 0 || instances_[static_cast<std::size_t>(i)].stopped) return;
      faults.die_at_next(step.count);
      // It dies when it gets there; who leads may have changed by then.
      later(step.length, [this, i, &process, &faults] {
        faults->die_at_sync = 0;
        if (!process.is_over()) return;
        fell(i);
        start_instance(i, false);
      });
      return;
    }
    if (step.fault == Fault::kDiskFails) faults->sync_error = EIO;
    if (step.fault == Fault::kDiskFull) faults->write_error = ENOSPC;
    if (step.fault == Fault::kDiskSlow) faults->sync_takes_ns = step.by;
    if (step.fault == Fault::kClock) faults->wall_step_ns = step.by;
    bool gone = step.fault == Fault::kDiskFails || step.fault == Fault::kDiskFull;
    if (gone) fell(i);
    later(step.length, [this, &faults, gone, i, length = step.length] {
      if (gone && leader_ == i && length < kMissed) fallen_at_ = 0;
      faults->sync_error = faults->write_error = 0;
      faults->sync_takes_ns = faults->wall_step_ns = 0;
    });
  }

  // One link of whom a step names; `there` leads away from them.
  void fail_link(const Step& step, standin::Relay& there, standin::Relay* back) {
    bool out = step.way != Way::kBack;
    bool in = step.way != Way::kThere;
    switch (step.fault) {
      case Fault::kStall:
        // Two connections between instances, one opened by each; one only between a server and an instance.
        there.stall(out, back ? false : in);
        if (back) back->stall(in, false);
        break;
      case Fault::kClose:
        there.close(true);
        if (back) back->close(true);
        break;
      case Fault::kLate:
        there.late(step.by);
        break;
      case Fault::kReset:
        there.reset();
        if (back) back->reset();
        break;
      case Fault::kCutFrame:
        there.cut_after(step.bytes);
        break;
      default:
        break;
    }
    if (step.length > 0) {
      later(step.length, [&there, back] {
        there.heal();
        if (back) back->heal();
      });
    }
  }

  void act(const Step& step) {
    ++result_.faults;
    seconds_[second()].notes += (seconds_[second()].notes.empty() ? "" : "; ") + told(step);
    bool link = on_links(step.fault);
    int first = step.who.first;
    int last = step.who.last;
    if (step.who.kind == Who::Kind::kLeader) first = last = std::max(leader_, 0);
    for (int i = first; i <= last; ++i) {
      std::size_t at = static_cast<std::size_t>(i);
      if (step.who.kind == Who::Kind::kProxy) {
        links_[at]->cut();
      } else if (step.who.kind == Who::Kind::kNode) {
        if (step.fault == Fault::kKill) kill_node(i, step.length);
        if (step.fault == Fault::kStop) stop_node(i, step.length);
        if (step.fault == Fault::kNoise) {
          standin::Engine& engine = *nodes_[at].engine;
          engine.slow(step.times);
          later(step.length, [&engine] { engine.slow(1); });
        }
        if (step.fault == Fault::kClock) {
          const standin::FaultFile& faults = *nodes_[at].faults;
          faults->wall_step_ns = step.by;
          later(step.length, [&faults] { faults->wall_step_ns = 0; });
        }
        for (int k = 0; link && k < options_.incident.instances; ++k) {
          if (step.others >> k & 1)
            fail_link(step, *nodes_[at].reports[static_cast<std::size_t>(k)], nullptr);
        }
      } else if (link) {
        for (int k = 0; k < options_.incident.instances; ++k) {
          std::size_t other = static_cast<std::size_t>(k);
          if (k != i && (step.others >> k & 1))
            fail_link(step, *instances_[at].peers[other], instances_[other].peers[at].get());
        }
      } else if (step.fault == Fault::kCommand) {
        operator_->say(i, step.say);
      } else if (step.fault == Fault::kStop) {
        stop_instance(i, step.length);
      } else if (step.fault == Fault::kKill || step.fault == Fault::kLose) {
        kill_instance(i, step.length, step.fault == Fault::kLose);
      } else {
        fail_inside(i, step);
      }
    }
  }

  void heal() {
    for (InstancePlace& one : instances_) {
      for (auto& relay : one.peers) relay->heal();
    }
    for (NodePlace& node : nodes_) {
      for (auto& relay : node.reports) relay->heal();
    }
  }

  int second() const { return static_cast<int>((loop_.now() - begun_) / kSecond); }

  void beat() {
    beat_.set(kMs);
    Nanos now = loop_.now();
    Nanos faults_end = begun_ + options_.incident.length;
    while (!later_.empty() && later_.begin()->first <= now) {
      auto what = std::move(later_.begin()->second);
      later_.erase(later_.begin());
      what();
    }
    for (; next_key_ <= now && now < faults_end;
         next_key_ += static_cast<Nanos>(1e9 / options_.incident.keys_per_s)) {
      ++result_.offered;
      ++seconds_[second()].offered;
      attempt(std::make_shared<Client>(Client{.key = make_key(), .born = now}));
    }
    for (; options_.incident.reads_per_s > 0 && next_read_ <= now && now < faults_end;
         next_read_ += static_cast<Nanos>(1e9 / options_.incident.reads_per_s)) {
      ++result_.offered;
      ++seconds_[second()].offered;
      attempt(std::make_shared<Client>(
          Client{.key = make_key(), .born = now, .read = static_cast<int>(random_() % 2)}));
    }
    while (step_ < options_.incident.steps.size() && begun_ + options_.incident.steps[step_].at <= now) {
      act(options_.incident.steps[step_++]);
    }
    if (options_.incident.faults_per_s > 0 && now >= next_fault_ && now < faults_end - kSecond) {
      // As many draws whatever is played, so that the same seed fails the same servers.
      std::mt19937 draws(random_faults_());
      Step step =
          drawn(draws, options_.incident.instances, options_.incident.nodes, options_.incident.proxies);
      if (options_.control_faults || !of_control(step)) act(step);
      next_fault_ = now + static_cast<Nanos>(1e9 / options_.incident.faults_per_s *
                                             (0.5 + static_cast<double>(random_faults_() % 1000) / 1000.0));
    }
    if (now - looked_at_ > 10 * kMs) {
      looked_at_ = now;
      look_at_sets();
      look_at_logs();
      supervise();
      look_at_nodes();
      if (operator_ && options_.agreed && !options_.plain_batches) run_releases();
      if (options_.plain_batches) restart_in_batches();
    }
    if (now > faults_end + 4 * kSecond && !healed_) healed_ = true, heal();
    if (now > faults_end + kSettle && !going_) loop_.stop();
  }

  // Whether all instances are one again, by what they say of themselves at one moment.
  void finish() {
    beat_.clear();  // it would end each wait below
    std::sort(failovers_.begin(), failovers_.end());
    result_.failovers = static_cast<int>(failovers_.size());
    auto quantile = [&](double share) {
      return failovers_.empty()
                 ? 0
                 : failovers_[static_cast<std::size_t>(share * static_cast<double>(failovers_.size() - 1))];
    };
    result_.failover_p50_ms = quantile(0.5);
    result_.failover_p99_ms = quantile(0.99);
    std::ostringstream table;
    table << "second offered completed  what\n";
    for (const auto& [at_second, row] : seconds_) {
      if (at_second < 0) continue;
      table << std::setw(6) << at_second << std::setw(8) << row.offered << std::setw(10) << row.completed
            << "  " << row.notes << "\n";
    }
    result_.table = table.str();
    if (!options_.agreed) return;
    std::map<std::uint64_t, std::string> digests;
    std::uint64_t highest = 0;
    for (int round = 0; round < 40; ++round) {
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i].lost)
          continue;  // it refuses to start, which is right: an operator lets a new one in
        control::AdminAnswer answer;
        try {
          answer = control::AdminClient(
                       net::loopback(static_cast<std::uint16_t>((*control_)[static_cast<int>(i)].admin)))
                       .call("instances");
        } catch (const std::exception& error) {
          if (round == 0) ++result_.not_back, note("instance " + std::to_string(i + 1) + ": " + error.what());
          continue;
        }
        if (round == 0 && (!answer.in_touch() || answer.leader() == 0))
          ++result_.not_back, note("instance " + std::to_string(i + 1) + " is out of touch");
        auto [known, fresh] = digests.emplace(answer.epoch(), answer.digest());
        if (!fresh && known->second != answer.digest())
          ++result_.lost_entries, note("two states under epoch " + std::to_string(answer.epoch()));
        if (round == 0) highest = std::max(highest, answer.epoch());
        if (round == 39 && answer.epoch() < highest)
          ++result_.lost_entries, note("instance " + std::to_string(i + 1) + " lacks what was agreed");
      }
      // The relays work meanwhile.
      Nanos until = loop_.now() + 25 * kMs;
      wait_for([&] { return loop_.now() > until; }, kSecond);
    }
  }

  struct Second {
    int offered = 0;
    int completed = 0;
    std::string notes;
  };
  struct Held {
    std::shared_ptr<const standin::AppliedSet> set;
    std::vector<std::string> owners;
    std::set<std::string> members;
  };

  RigOptions options_;
  std::mt19937 random_;
  std::mt19937 random_faults_;
  std::string folder_;
  net::Loop loop_;
  standin::NoLog log_;
  standin::Database database_;
  std::set<int> taken_;
  std::unique_ptr<standin::ControlFleet> control_;
  std::vector<InstancePlace> instances_;
  std::vector<NodePlace> nodes_;
  std::vector<std::unique_ptr<standin::AdsLink>> links_;
  std::vector<std::unique_ptr<standin::Proxy>> proxies_;
  std::vector<Held> held_;
  std::set<std::pair<int, std::string>> split_;
  std::map<std::string, std::pair<std::string, Nanos>> ran_;
  std::multimap<Nanos, std::function<void()>> later_;
  std::vector<double> failovers_;
  net::Timer beat_;
  RigResult result_;
  Nanos begun_ = 0;
  Nanos next_key_ = 0;
  Nanos next_fault_ = 0;
  Nanos next_read_ = 0;
  std::map<int, standin::Behaviour> behaviours_;  // of versions
  std::unique_ptr<Operator> operator_;
  std::optional<Going> going_;
  std::size_t batches_ = 0;
  Nanos looked_at_ = 0;
  Nanos fallen_at_ = 0;
  std::size_t step_ = 0;
  std::map<int, Second> seconds_;
  int leader_ = -1;
  int ready_ = 0;
  bool probing_ = false;
  bool healed_ = false;
};

}  // namespace

RigResult play(const RigOptions& options) { return Rig(options).run(); }

}  // namespace myrtlecroft::rehearsal
