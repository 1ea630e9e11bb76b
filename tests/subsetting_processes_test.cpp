// Subsetting under faults, with three real instances of the control service, simulated servers and stand-in
// callers. The assertions look at what the callers have applied.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <regex>
#include <set>

#include "../standin/ads_link.h"
#include "../standin/control_fleet.h"
#include "control/admin_client.h"
#include "control_harness.h"

namespace myrtlecroft {
namespace {

constexpr int kServers = 24;
constexpr int kZones = 3;
constexpr int kCallers = 12;
constexpr int kInstances = 3;
constexpr int kShards = 16;
constexpr int kBurstChanges = 12;
constexpr int kAwaitTimeoutMs = 20'000;
const std::string kRead = "group/read";

std::string server_name(int i) { return "n" + std::to_string(i); }

std::string fleet_file(const std::string& size, const std::string& near_servers) {
  std::string out = "version = 1; listener = \"fleet\"; proxies = 12;\nnodes = (";
  for (int i = 0; i < kServers; ++i) {
    out += std::string(i ? ",\n" : "\n") + "{ name = \"" + server_name(i) + "\"; zone = \"z" +
           std::to_string(i % kZones) + "\"; address = \"127.0.0.1:" + std::to_string(20'001 + i) + "\"; }";
  }
  return out + ");\nsubsetting = { size = " + size + "; };\ngroups = (\n" +
         "{ name = \"read\"; repeats = \"repeatable\"; timeout_ms = 500; },\n"
         "{ name = \"near\"; repeats = \"repeatable\"; timeout_ms = 500; servers = (" +
         near_servers + "); },\n" +
         "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; });\n"
         "bounds = { silent_ms = 600; dwell_ms = 100; ramp_ms = 100; settle_ms = 20; shard_digits = 1; "
         "most_out = 0.5; };\n";
}

// Tracks the owner of each shard in the sets that the callers have applied, and counts shards open at two
// servers at once.
class OwnerObserver {
 public:
  // Reads the set that the caller has applied now instead of getting it passed, so that concurrent calls keep
  // the newer one.
  void observe(const std::string& id, const standin::AdsLink& caller) {
    std::lock_guard lock(mutex_);
    auto applied = caller.applied();
    if (!applied || applied == last_sets_[id]) return;
    last_sets_[id] = applied;
    const Owners& owners = by_caller_[id] = owners_in(*applied);
    for (const auto& [other, other_owners] : by_caller_) {
      for (const auto& [digit, owner] : other_owners) {
        if (owners.contains(digit) && owners.at(digit) != owner) ++split_count_;
      }
    }
  }
  int split_count() const {
    std::lock_guard lock(mutex_);
    return split_count_;
  }
  std::size_t open_shards(const std::string& id) const {
    std::lock_guard lock(mutex_);
    return by_caller_.contains(id) ? by_caller_.at(id).size() : 0;
  }
  // Whether all shards are open at all callers.
  bool all_open() const {
    std::lock_guard lock(mutex_);
    return std::all_of(by_caller_.begin(), by_caller_.end(),
                       [](const auto& one) { return one.second.size() == kShards; });
  }

 private:
  using Owners = std::map<char, std::string>;  // owner by the first digit of the shard's keys

  static Owners owners_in(const standin::AppliedSet& set) {
    Owners out;
    for (const auto& host : set.routes->virtual_hosts()) {
      for (const auto& route : host.routes()) {
        if (!route.has_route() || !route.name().starts_with("book/")) continue;
        std::string pattern = route.match().headers(0).safe_regex_match().regex();
        std::regex shards(pattern.substr(pattern.find(")") + 1));  // without the leading "(?i)"
        for (char digit : std::string("0123456789abcdef")) {
          if (std::regex_match(std::string(1, digit) + "5", shards)) out[digit] = route.route().cluster();
        }
      }
    }
    return out;
  }

  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<const standin::AppliedSet>> last_sets_;
  std::map<std::string, Owners> by_caller_;
  int split_count_ = 0;
};

class SubsettingProcesses : public testing::Test {
 protected:
  SubsettingProcesses() {
    write_fleet(fleet_file("6", "\"zone z1\""));
    standin::ControlClusterOptions options{.folder = folder_.file(""),
                                           .fleet = folder_.file("fleet.conf"),
                                           .instances = kInstances,
                                           .replicated = true,
                                           .more = {}};
    fleet_ = std::make_unique<standin::ControlCluster>(options, ports_);
    fleet_->start_all();
    for (const auto& replica : fleet_->all()) {
      reporters_.push_back(std::make_unique<control::Reporters>(static_cast<std::uint16_t>(replica.reports)));
      for (int i = 0; i < kServers; ++i) {
        reporters_.back()->add(server_name(i), "127.0.0.1:" + std::to_string(20'001 + i));
      }
    }
    for (int i = 0; i < kCallers; ++i) callers_.push_back(make_caller(i, i % kInstances));
  }
  ~SubsettingProcesses() override {
    callers_.clear();
    reporters_.clear();
    fleet_.reset();
  }

  void write_fleet(const std::string& text) const { std::ofstream(folder_.file("fleet.conf")) << text; }
  // Half of the callers use delta streams; half subscribe to two services by name, the others to everything.
  std::unique_ptr<standin::AdsLink> make_caller(int i, int instance) {
    std::vector<std::string> services;
    if (i % 4 < 2) services = {"book", "read"};
    auto link = std::make_shared<std::atomic<standin::AdsLink*>>(nullptr);
    auto observe = [this, id = id_of(i), link](const standin::AppliedSet&) {
      if (standin::AdsLink* registered = *link) owners_.observe(id, *registered);
    };
    auto out = std::make_unique<standin::AdsLink>(fleet_->discovery(instance), i % 2 == 0, id_of(i), observe,
                                                  nullptr, services);
    *link = out.get();
    return out;
  }
  static std::string id_of(int i) { return "caller-" + std::to_string(i); }
  static bool await(const std::function<bool()>& expected) {
    return control::await(expected, kAwaitTimeoutMs);
  }

  std::set<std::string> served_servers(int caller, const std::string& cluster = kRead) const {
    std::set<std::string> out;
    auto applied = callers_[static_cast<std::size_t>(caller)]->applied();
    if (!applied || !applied->endpoints.contains(cluster)) return out;
    for (const auto& one : applied->endpoints.at(cluster)->endpoints()) out.insert(one.locality().sub_zone());
    return out;
  }
  std::vector<std::set<std::string>> served_servers_of_all() const {
    std::vector<std::set<std::string>> out;
    for (int i = 0; i < kCallers; ++i) out.push_back(served_servers(i));
    return out;
  }
  // Whether each caller has a subset of the servers and all shards open.
  bool is_settled() {
    for (int i = 0; i < kCallers; ++i) owners_.observe(id_of(i), *callers_[static_cast<std::size_t>(i)]);
    auto all = served_servers_of_all();
    return owners_.all_open() && std::all_of(all.begin(), all.end(), [](const auto& one) {
             return one.size() >= 3 && one.size() < 16;
           });
  }
  // For failure messages: the state of each caller, and what each instance reports about its proxies.
  std::string describe_state() {
    std::string out;
    for (int i = 0; i < kCallers; ++i) {
      const auto& caller = *callers_[static_cast<std::size_t>(i)];
      out += id_of(i) + ": " + std::to_string(served_servers(i).size()) + " servers, " +
             std::to_string(owners_.open_shards(id_of(i))) + " shards open, " + caller.half_applied_last() +
             (caller.connected() ? "\n" : "not connected\n");
    }
    for (int i = 0; i < kInstances; ++i) {
      control::AdminAnswer answer = query(i, "proxies");
      out += "instance " + std::to_string(i + 1) + ": leader " + std::to_string(answer.leader()) +
             ", published " + std::to_string(answer.published()) + ", applied by all " +
             std::to_string(answer.applied_by_all()) + ", shards closed " +
             std::to_string(answer.shards_closed()) + "\n";
      for (const auto& row : answer.proxies()) {
        out += "  " + row.id() + " applied " + std::to_string(row.applied()) + ", acks " +
               std::to_string(row.acks()) + ", refusals " + std::to_string(row.refused_size()) + "\n";
      }
    }
    return out;
  }
  void set_silent(int which, bool silent) {
    for (auto& one : reporters_) one->pause(server_name(which), silent);
  }
  void set_draining(int which, bool draining) {
    for (auto& one : reporters_)
      one->set(server_name(which), [&](auto& report) { report.draining = draining; });
  }
  // Whether each caller has some servers, and none of these.
  bool absent_at_all_callers(const std::set<std::string>& absent) const {
    for (const auto& one : served_servers_of_all()) {
      if (one.empty()) return false;
      for (const std::string& name : absent) {
        if (one.contains(name)) return false;
      }
    }
    return true;
  }
  control::AdminAnswer query(int at, const std::string& command = "instances") const {
    try {
      return control::AdminClient(net::loopback(static_cast<std::uint16_t>((*fleet_)[at].admin)))
          .call(command);
    } catch (const std::exception&) {
      return {};
    }
  }
  std::uint64_t published() const {
    std::uint64_t max = 0;
    for (int i = 0; i < kInstances; ++i) max = std::max<std::uint64_t>(max, query(i).published());
    return max;
  }
  // Makes one change after another and waits for the publication of each before the next.
  void run_burst(const std::function<void(int)>& during_change) {
    for (int i = 0; i < kBurstChanges; ++i) {
      std::uint64_t before = published();
      set_draining(i, true);
      during_change(i);
      ASSERT_TRUE(await([&] { return published() > before; })) << "change " << i;
      set_draining(i, false);
    }
  }
  void expect_no_violations() const {
    for (const auto& caller : callers_) EXPECT_EQ(caller->half_applied(), 0) << caller->half_applied_last();
    EXPECT_EQ(owners_.split_count(), 0) << "a shard is open at two servers";
  }
  int count_lines(int instance, const std::string& text) const {
    std::ifstream in(fleet_->log(instance));
    int out = 0;
    for (std::string line; std::getline(in, line);) out += line.find(text) != std::string::npos;
    return out;
  }

  control::TemporaryFolder folder_;
  standin::PortReservations ports_;
  std::unique_ptr<standin::ControlCluster> fleet_;
  std::vector<std::unique_ptr<control::Reporters>> reporters_;
  OwnerObserver owners_;
  std::vector<std::unique_ptr<standin::AdsLink>> callers_;
};

TEST_F(SubsettingProcesses, LostServerLeavesOnlyTheSubsetsThatContainIt) {
  ASSERT_TRUE(await([&] { return is_settled(); })) << describe_state();
  auto before = served_servers_of_all();
  const std::string silent = *before[0].begin();
  set_silent(std::stoi(silent.substr(1)), true);
  ASSERT_TRUE(await([&] { return absent_at_all_callers({silent}); }));
  auto after = served_servers_of_all();
  for (std::size_t i = 0; i < after.size(); ++i) {
    auto expected = before[i];
    expected.erase(silent);
    EXPECT_EQ(after[i], expected) << "caller " << i;
  }
  EXPECT_FALSE(served_servers(2, "group/near").contains("n0")) << "a server outside the zone of the service";
  set_silent(std::stoi(silent.substr(1)), false);
  EXPECT_TRUE(await([&] { return served_servers_of_all() == before && is_settled(); })) << describe_state();
  expect_no_violations();
}

TEST_F(SubsettingProcesses, CallersKeepServersOfOtherZonesWhenAZoneIsLost) {
  ASSERT_TRUE(await([&] { return is_settled(); })) << describe_state();
  auto before = served_servers_of_all();
  std::set<std::string> lost;
  for (int i = 0; i < kServers; i += kZones) {
    lost.insert(server_name(i));
    set_silent(i, true);
  }
  ASSERT_TRUE(await([&] { return absent_at_all_callers(lost); }));
  for (int i = 0; i < kServers; i += kZones) set_silent(i, false);
  EXPECT_TRUE(await([&] { return served_servers_of_all() == before && is_settled(); })) << describe_state();
  expect_no_violations();
}

TEST_F(SubsettingProcesses, CallerKeepsItsSubsetWhenItChangesInstanceDuringABurst) {
  ASSERT_TRUE(await([&] { return is_settled(); })) << describe_state();
  auto before = served_servers_of_all();
  run_burst([&](int i) {
    auto& caller = callers_[static_cast<std::size_t>(i)];
    EXPECT_EQ(caller->half_applied(), 0) << caller->half_applied_last();
    caller.reset();
    caller = make_caller(i, (i + 1) % kInstances);
  });
  EXPECT_TRUE(await([&] { return served_servers_of_all() == before && is_settled(); })) << describe_state();
  expect_no_violations();
}

TEST_F(SubsettingProcesses, InstanceRestartedDuringABurstServesTheSameSubsets) {
  ASSERT_TRUE(await([&] { return is_settled(); })) << describe_state();
  auto before = served_servers_of_all();
  run_burst([&](int i) {
    if (i % 4 == 1) (*fleet_)[i / 4].process.end(SIGKILL);
    if (i % 4 == 3) fleet_->start(i / 4);
  });
  EXPECT_TRUE(await([&] { return served_servers_of_all() == before && is_settled(); })) << describe_state();
  set_draining(3, true);
  EXPECT_TRUE(await([&] { return absent_at_all_callers({server_name(3)}); }));
  expect_no_violations();
}

TEST_F(SubsettingProcesses, InvalidReloadKeepsThePreviousFleetFileAndLogsOneLine) {
  ASSERT_TRUE(await([&] { return is_settled(); })) << describe_state();
  auto before = served_servers_of_all();
  write_fleet(fleet_file("6", "\"zone z1\", \"n99\""));
  for (int i = 0; i < kInstances; ++i) (*fleet_)[i].process.signal(SIGHUP);
  const std::string line = "the previous fleet file stays in use: ";
  for (int i = 0; i < kInstances; ++i) {
    ASSERT_TRUE(await([&] { return count_lines(i, line) > 0; }));
    EXPECT_EQ(count_lines(i, "reload"), 1);
    EXPECT_EQ(count_lines(i, "fleet.conf:30: groups[1].servers: 'n99' is neither a node nor 'zone NAME'"), 1);
  }
  EXPECT_EQ(served_servers_of_all(), before);
  set_silent(5, true);
  ASSERT_TRUE(await([&] { return absent_at_all_callers({server_name(5)}); }))
      << "the previous fleet file is no longer in use";
  set_silent(5, false);
  write_fleet(fleet_file("12", "\"zone z1\""));
  for (int i = 0; i < kInstances; ++i) (*fleet_)[i].process.signal(SIGHUP);
  EXPECT_TRUE(await([&] {
    auto all = served_servers_of_all();
    return std::all_of(all.begin(), all.end(),
                       [](const auto& one) { return one.size() >= 9 && one.size() < 16; });
  })) << "the valid fleet file was not applied";
  expect_no_violations();
}

}  // namespace
}  // namespace myrtlecroft
