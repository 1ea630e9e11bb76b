// Three real instances of the control service, hollow servers and stand-in callers with subsets, beside
// faults. What is asserted is seen at the callers.
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
constexpr int kBurst = 12;
constexpr int kLimitMs = 20'000;
const std::string kRead = "group/read";

std::string server(int i) { return "n" + std::to_string(i); }

std::string fleet_file(const std::string& size, const std::string& near) {
  std::string out = "version = 1; listener = \"fleet\"; proxies = 12;\nnodes = (";
  for (int i = 0; i < kServers; ++i) {
    out += std::string(i ? ",\n" : "\n") + "{ name = \"" + server(i) + "\"; zone = \"z" +
           std::to_string(i % kZones) + "\"; address = \"127.0.0.1:" + std::to_string(20'001 + i) + "\"; }";
  }
  return out + ");\nsubsetting = { size = " + size + "; };\ngroups = (\n" +
         "{ name = \"read\"; repeats = \"repeatable\"; timeout_ms = 500; },\n"
         "{ name = \"near\"; repeats = \"repeatable\"; timeout_ms = 500; servers = (" +
         near + "); },\n" +
         "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; });\n"
         "bounds = { silent_ms = 600; dwell_ms = 100; ramp_ms = 100; settle_ms = 20; shard_digits = 1; "
         "most_out = 0.5; };\n";
}

// Who may run the keys of each shard, by what each caller has applied. No shard is open at two servers at
// once.
class OwnersSeen {
 public:
  // What the caller has applied by now: looks that cross each other leave the newer one.
  void look(const std::string& id, const standin::AdsLink& caller) {
    std::lock_guard lock(mutex_);
    auto applied = caller.applied();
    if (!applied || applied == looked_at_[id]) return;
    looked_at_[id] = applied;
    const Owners& owners = by_caller_[id] = owners_in(*applied);
    for (const auto& [other, theirs] : by_caller_) {
      for (const auto& [digit, owner] : theirs) {
        if (owners.contains(digit) && owners.at(digit) != owner) ++split_;
      }
    }
  }
  int split() const {
    std::lock_guard lock(mutex_);
    return split_;
  }
  std::size_t open_at(const std::string& id) const {
    std::lock_guard lock(mutex_);
    return by_caller_.contains(id) ? by_caller_.at(id).size() : 0;
  }
  // All shards are open at all callers.
  bool all_open() const {
    std::lock_guard lock(mutex_);
    return std::all_of(by_caller_.begin(), by_caller_.end(),
                       [](const auto& one) { return one.second.size() == kShards; });
  }

 private:
  using Owners = std::map<char, std::string>;  // by the digit that keys of the shard begin with

  static Owners owners_in(const standin::AppliedSet& set) {
    Owners out;
    for (const auto& host : set.routes->virtual_hosts()) {
      for (const auto& route : host.routes()) {
        if (!route.has_route() || !route.name().starts_with("book/")) continue;
        std::string pattern = route.match().headers(0).safe_regex_match().regex();
        std::regex shards(pattern.substr(pattern.find(")") + 1));  // without the flags
        for (char digit : std::string("0123456789abcdef")) {
          if (std::regex_match(std::string(1, digit) + "5", shards)) out[digit] = route.route().cluster();
        }
      }
    }
    return out;
  }

  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<const standin::AppliedSet>> looked_at_;
  std::map<std::string, Owners> by_caller_;
  int split_ = 0;
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
    fleet_ = std::make_unique<standin::ControlCluster>(options, taken_);
    fleet_->start_all();
    for (const auto& place : fleet_->all()) {
      reporters_.push_back(std::make_unique<control::Reporters>(static_cast<std::uint16_t>(place.reports)));
      for (int i = 0; i < kServers; ++i) {
        reporters_.back()->add(server(i), "127.0.0.1:" + std::to_string(20'001 + i));
      }
    }
    for (int i = 0; i < kCallers; ++i) callers_.push_back(call(i, i % kInstances));
  }
  ~SubsettingProcesses() override {
    callers_.clear();
    reporters_.clear();
    fleet_.reset();
  }

  void write_fleet(const std::string& text) const { std::ofstream(folder_.file("fleet.conf")) << text; }
  // Half of them delta; half ask for two services by name, the others for all there is.
  std::unique_ptr<standin::AdsLink> call(int i, int instance) {
    std::vector<std::string> services;
    if (i % 4 < 2) services = {"book", "read"};
    auto link = std::make_shared<std::atomic<standin::AdsLink*>>(nullptr);
    auto look = [this, id = id_of(i), link](const standin::AppliedSet&) {
      if (standin::AdsLink* known = *link) owners_.look(id, *known);
    };
    auto out = std::make_unique<standin::AdsLink>(fleet_->discovery(instance), i % 2 == 0, id_of(i), look,
                                                  nullptr, services);
    *link = out.get();
    return out;
  }
  static std::string id_of(int i) { return "caller-" + std::to_string(i); }
  static bool await(const std::function<bool()>& expected) { return control::await(expected, kLimitMs); }

  std::set<std::string> told(int caller, const std::string& cluster = kRead) const {
    std::set<std::string> out;
    auto applied = callers_[static_cast<std::size_t>(caller)]->applied();
    if (!applied || !applied->endpoints.contains(cluster)) return out;
    for (const auto& one : applied->endpoints.at(cluster)->endpoints()) out.insert(one.locality().sub_zone());
    return out;
  }
  std::vector<std::set<std::string>> told_to_all() const {
    std::vector<std::set<std::string>> out;
    for (int i = 0; i < kCallers; ++i) out.push_back(told(i));
    return out;
  }
  // All are served, each a part of the servers, with all shards open.
  bool at_rest() {
    for (int i = 0; i < kCallers; ++i) owners_.look(id_of(i), *callers_[static_cast<std::size_t>(i)]);
    auto all = told_to_all();
    return owners_.all_open() && std::all_of(all.begin(), all.end(), [](const auto& one) {
             return one.size() >= 3 && one.size() < 16;
           });
  }
  // For a failure: what each caller is told of and has, and what each instance says of them.
  std::string state() {
    std::string out;
    for (int i = 0; i < kCallers; ++i) {
      const auto& caller = *callers_[static_cast<std::size_t>(i)];
      out += id_of(i) + ": " + std::to_string(told(i).size()) + " servers, " +
             std::to_string(owners_.open_at(id_of(i))) + " shards open, " + caller.half_applied_last() +
             (caller.connected() ? "\n" : "not connected\n");
    }
    for (int i = 0; i < kInstances; ++i) {
      control::AdminAnswer answer = ask(i, "proxies");
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
  void quiet(int which, bool is_quiet) {
    for (auto& one : reporters_) one->pause(server(which), is_quiet);
  }
  void draining(int which, bool is_leaving) {
    for (auto& one : reporters_) one->set(server(which), [&](auto& report) { report.draining = is_leaving; });
  }
  // No caller is told of any of them, and each is told of some.
  bool gone_everywhere(const std::set<std::string>& gone) const {
    for (const auto& one : told_to_all()) {
      if (one.empty()) return false;
      for (const std::string& name : gone) {
        if (one.contains(name)) return false;
      }
    }
    return true;
  }
  control::AdminAnswer ask(int at, const std::string& question = "instances") const {
    try {
      return control::AdminClient(net::loopback(static_cast<std::uint16_t>((*fleet_)[at].admin)))
          .call(question);
    } catch (const std::exception&) {
      return {};
    }
  }
  std::uint64_t published() const {
    std::uint64_t max = 0;
    for (int i = 0; i < kInstances; ++i) max = std::max<std::uint64_t>(max, ask(i).published());
    return max;
  }
  // One change after another, each published before the next.
  void burst(const std::function<void(int)>& between) {
    for (int i = 0; i < kBurst; ++i) {
      std::uint64_t before = published();
      draining(i, true);
      between(i);
      ASSERT_TRUE(await([&] { return published() > before; })) << "change " << i;
      draining(i, false);
    }
  }
  void expect_sound() const {
    for (const auto& caller : callers_) EXPECT_EQ(caller->half_applied(), 0) << caller->half_applied_last();
    EXPECT_EQ(owners_.split(), 0) << "a key at two servers";
  }
  int lines(int instance, const std::string& part) const {
    std::ifstream in(fleet_->log(instance));
    int out = 0;
    for (std::string line; std::getline(in, line);) out += line.find(part) != std::string::npos;
    return out;
  }

  control::TemporaryFolder folder_;
  std::set<int> taken_;
  std::unique_ptr<standin::ControlCluster> fleet_;
  std::vector<std::unique_ptr<control::Reporters>> reporters_;
  OwnersSeen owners_;
  std::vector<std::unique_ptr<standin::AdsLink>> callers_;
};

TEST_F(SubsettingProcesses, AServerThatFallsSilentLeavesTheSubsetsThatHaveItAndNoOther) {
  ASSERT_TRUE(await([&] { return at_rest(); })) << state();
  auto before = told_to_all();
  const std::string silent = *before[0].begin();
  quiet(std::stoi(silent.substr(1)), true);
  ASSERT_TRUE(await([&] { return gone_everywhere({silent}); }));
  auto after = told_to_all();
  for (std::size_t i = 0; i < after.size(); ++i) {
    auto expected = before[i];
    expected.erase(silent);
    EXPECT_EQ(after[i], expected) << "caller " << i;
  }
  EXPECT_FALSE(told(2, "group/near").contains("n0")) << "a service of one zone";
  quiet(std::stoi(silent.substr(1)), false);
  EXPECT_TRUE(await([&] { return told_to_all() == before && at_rest(); })) << state();
  expect_sound();
}

TEST_F(SubsettingProcesses, AZoneThatIsLostLeavesEveryCallerServersOfTheOthers) {
  ASSERT_TRUE(await([&] { return at_rest(); })) << state();
  auto before = told_to_all();
  std::set<std::string> lost;
  for (int i = 0; i < kServers; i += kZones) {
    lost.insert(server(i));
    quiet(i, true);
  }
  ASSERT_TRUE(await([&] { return gone_everywhere(lost); }));
  for (int i = 0; i < kServers; i += kZones) quiet(i, false);
  EXPECT_TRUE(await([&] { return told_to_all() == before && at_rest(); })) << state();
  expect_sound();
}

TEST_F(SubsettingProcesses, ACallerThatGoesToAnotherInstanceInABurstEndsWithItsSubset) {
  ASSERT_TRUE(await([&] { return at_rest(); })) << state();
  auto before = told_to_all();
  burst([&](int i) {
    auto& caller = callers_[static_cast<std::size_t>(i)];
    EXPECT_EQ(caller->half_applied(), 0) << caller->half_applied_last();
    caller.reset();
    caller = call(i, (i + 1) % kInstances);
  });
  EXPECT_TRUE(await([&] { return told_to_all() == before && at_rest(); })) << state();
  expect_sound();
}

TEST_F(SubsettingProcesses, AnInstanceKilledInABurstAndStartedAgainServesTheSameSubsets) {
  ASSERT_TRUE(await([&] { return at_rest(); })) << state();
  auto before = told_to_all();
  burst([&](int i) {
    if (i % 4 == 1) (*fleet_)[i / 4].process.end(SIGKILL);
    if (i % 4 == 3) fleet_->start(i / 4);
  });
  EXPECT_TRUE(await([&] { return told_to_all() == before && at_rest(); })) << state();
  draining(3, true);
  EXPECT_TRUE(await([&] { return gone_everywhere({server(3)}); }));
  expect_sound();
}

TEST_F(SubsettingProcesses, ABadReloadLeavesTheOldFileInForceWithOneLine) {
  ASSERT_TRUE(await([&] { return at_rest(); })) << state();
  auto before = told_to_all();
  write_fleet(fleet_file("6", "\"zone z1\", \"n99\""));
  for (int i = 0; i < kInstances; ++i) (*fleet_)[i].process.signal(SIGHUP);
  const std::string line = "the previous fleet file stays in use: ";
  for (int i = 0; i < kInstances; ++i) {
    ASSERT_TRUE(await([&] { return lines(i, line) > 0; }));
    EXPECT_EQ(lines(i, "reload"), 1);
    EXPECT_EQ(lines(i, "fleet.conf:30: groups[1].servers: 'n99' is neither a node nor 'zone NAME'"), 1);
  }
  EXPECT_EQ(told_to_all(), before);
  quiet(5, true);
  ASSERT_TRUE(await([&] { return gone_everywhere({server(5)}); })) << "it goes on by the old one";
  quiet(5, false);
  write_fleet(fleet_file("12", "\"zone z1\""));
  for (int i = 0; i < kInstances; ++i) (*fleet_)[i].process.signal(SIGHUP);
  EXPECT_TRUE(await([&] {
    auto all = told_to_all();
    return std::all_of(all.begin(), all.end(),
                       [](const auto& one) { return one.size() >= 9 && one.size() < 16; });
  })) << "a good one is taken";
  expect_sound();
}

}  // namespace
}  // namespace myrtlecroft
