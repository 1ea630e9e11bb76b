// Tests with real instances of the control service: kills at any sync, failing disks, wrong clocks, and two
// log formats.
#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>

#include "../standin/child.h"
#include "../standin/control_fleet.h"
#include "consensus/store_raft_storage.h"
#include "control/admin_client.h"
#include "control_harness.h"
#include "temporary_folder_test.h"

namespace myrtlecroft {
namespace {

struct ReplicaFolderTest : TemporaryFolderTest {};

TEST_F(ReplicaFolderTest, CopiedFolderIsRejected) {
  {
    consensus::StoreRaftStorage storage(
        folder, [] { return Nanos{1}; }, [] {});
    storage.set_owner(1);
  }
  std::string log = folder + ".out";
  standin::ChildProcess child(
      {MYRTLECROFT_CONTROL, "serve", "--fleet", MYRTLECROFT_FLEET, "--xds", "127.0.0.1:9", "--reports",
       "127.0.0.1:9", "--admin", "127.0.0.1:9", "--instance", "2", "--peer", "127.0.0.1:9", "--log", folder},
      log);
  EXPECT_EQ(child.wait(), 1);
  std::ifstream in(log);
  std::string output((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(output.find("is the log of instance 1"), std::string::npos) << output;
  std::filesystem::remove(log);
}

// Three real instances and two servers that report to all of them; no proxy.
struct ReplicaProcessesTest : TemporaryFolderTest {
  explicit ReplicaProcessesTest(std::vector<std::string> extra_options = {}) {
    std::ofstream(folder + "/fleet.conf")
        << "version = 1; listener = \"fleet\"; nodes = ({ name = \"n1\"; address = \"127.0.0.1:20001\"; }, "
           "{ name = \"n2\"; address = \"127.0.0.1:20002\"; });\n"
           "groups = ({ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; });\n"
           "bounds = { silent_ms = 600; dwell_ms = 100; ramp_ms = 100; settle_ms = 20; shard_digits = 1; "
           "};\n";
    fleet = std::make_unique<standin::ControlCluster>(
        standin::ControlClusterOptions{.folder = folder,
                                       .fleet = folder + "/fleet.conf",
                                       .instances = 3,
                                       .replicated = true,
                                       .more = extra_options},
        ports);
    fleet->start_all();
    for (const auto& replica : fleet->all()) {
      reporters.push_back(std::make_unique<control::Reporters>(static_cast<std::uint16_t>(replica.reports)));
      reporters.back()->add("n1", "127.0.0.1:20001");
      reporters.back()->add("n2", "127.0.0.1:20002");
    }
  }
  ~ReplicaProcessesTest() override { fleet.reset(); }
  control::AdminAnswer query(int at, const std::string& command = "instances") {
    try {
      return control::AdminClient(net::loopback(static_cast<std::uint16_t>((*fleet)[at].admin)))
          .call(command);
    } catch (const std::exception&) {
      return {};
    }
  }
  int leader() {
    for (int i = 0; i < fleet->size(); ++i) {
      control::AdminAnswer answer = query(i);
      if (answer.in_touch() && answer.leader() == static_cast<std::uint64_t>(i + 1)) return i;
    }
    return -1;
  }
  bool is_voter(int at) {
    int leader_index = leader();
    if (leader_index < 0) return false;
    control::AdminAnswer answer = query(leader_index);
    return std::any_of(answer.instances().begin(), answer.instances().end(), [&](const auto& row) {
      return row.id() == static_cast<std::uint64_t>(at + 1) && row.part() == "votes";
    });
  }
  bool has_quorum(int at) { return query(at).in_touch(); }
  // Waits until all of the instances have the same epoch above 0 and the same state.
  bool agree(const std::vector<int>& instances) {
    return control::await([&] {
      std::set<std::string> digests;
      std::set<std::uint64_t> epochs;
      for (int at : instances) {
        control::AdminAnswer answer = query(at);
        digests.insert(answer.digest());
        epochs.insert(answer.epoch());
      }
      return epochs.size() == 1 && digests.size() == 1 && *epochs.begin() > 0;
    });
  }
  // Reports n1 as draining or not; alternating calls cause any number of decisions.
  void report_draining(bool draining) {
    for (auto& one : reporters) one->set("n1", [&](auto& report) { report.draining = draining; });
  }
  standin::PortReservations ports;
  std::unique_ptr<standin::ControlCluster> fleet;
  std::vector<std::unique_ptr<control::Reporters>> reporters;
};

// A new instance syncs its identity, its vote, the entries it receives and its membership; it is killed at
// each of these syncs.
TEST_F(ReplicaProcessesTest, InstanceJoinsAfterItWasKilledAtAnySyncOfJoining) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  int killed = 0;
  for (int sync = 1; sync <= 6; ++sync) {
    int at = fleet->add();
    standin::ControlCluster::ReplicaProcess& replica = (*fleet)[at];
    replica.faults->crash_after_syncs(sync);
    fleet->start(at, standin::ControlCluster::Start::kJoin);
    ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
    auto add_command = [&] {
      return "let-in " + std::to_string(at + 1) + " " + standin::loopback_address(replica.peer);
    };
    ASSERT_TRUE(control::await([&] {
      if (!replica.process.has_exited()) return is_voter(at) || (query(leader(), add_command()), false);
      ++killed;
      fleet->start(at, standin::ControlCluster::Start::kJoin);
      return false;
    })) << "killed at sync "
        << sync;
    ASSERT_TRUE(agree({leader(), at}));
    ASSERT_TRUE(control::await([&] {
      query(leader(), "let-out " + std::to_string(at + 1));
      return !is_voter(at);
    }));
    replica.process.end(SIGKILL);
  }
  EXPECT_GE(killed, 4);
}

// Guards against an instance that stays down because its exit is not visible yet when its restart is due.
TEST_F(ReplicaProcessesTest, InstanceThatHasBegunToCrashIsStartedAgain) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  int at = leader();
  standin::ControlCluster::ReplicaProcess& replica = (*fleet)[at];
  (*replica.faults)->crash_delay_ns = 500 * kMs;
  replica.faults->crash_after_syncs(1);
  bool draining = false;
  ASSERT_TRUE(control::await([&] {
    report_draining(draining = !draining);
    return replica.faults->crash_begun();
  }));
  int crashing = replica.process.pid();
  ASSERT_FALSE(replica.process.has_exited());
  EXPECT_TRUE(fleet->restart_if_crashed(at));
  EXPECT_NE(replica.process.pid(), crashing);
  EXPECT_TRUE(control::await([&] { return has_quorum(at); }));
}

TEST_F(ReplicaProcessesTest, InstanceThatHasNotBegunToCrashKeepsRunning) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  standin::ControlCluster::ReplicaProcess& replica = (*fleet)[0];
  int running = replica.process.pid();
  replica.faults->crash_after_syncs(1'000'000);
  EXPECT_FALSE(fleet->restart_if_crashed(0));
  EXPECT_EQ(replica.process.pid(), running);
  EXPECT_FALSE(replica.process.has_exited());
}

struct ReplicaSnapshotTest : ReplicaProcessesTest {
  ReplicaSnapshotTest() : ReplicaProcessesTest({"--snapshot-after", "8"}) {}
};

TEST_F(ReplicaSnapshotTest, InstanceKnowsAllAgreedEntriesAfterItWasKilledAtAnySyncOfASnapshot) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  bool draining = false;
  for (int sync = 1; sync <= 8; ++sync) {
    int leader_index = leader();
    int at = (std::max(0, leader_index) + 1) % 3;
    standin::ControlCluster::ReplicaProcess& replica = (*fleet)[at];
    std::uint64_t before = query(at).epoch();
    replica.faults->crash_after_syncs(sync);
    ASSERT_TRUE(control::await([&] {
      report_draining(draining = !draining);
      return replica.process.has_exited();
    })) << "sync "
        << sync;
    fleet->start(at);
    ASSERT_TRUE(control::await([&] { return has_quorum(at); })) << "sync " << sync;
    EXPECT_GE(query(at).epoch(), before);
  }
  report_draining(false);
  EXPECT_TRUE(agree({0, 1, 2}));
  EXPECT_GT(query(0).epoch(), 16u) << "too few epochs for several snapshots";
}

TEST_F(ReplicaProcessesTest, InstanceWithAFailingDiskServesAndDoesNotLead) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0 && query(leader()).published() > 0; }));
  int leader_index = leader();
  for (auto fail : {&standin::Faults::sync_error, &standin::Faults::write_error}) {
    leader_index = leader();
    standin::Faults& faults = *(*fleet)[leader_index].faults->operator->();
    faults.*fail = fail == &standin::Faults::sync_error ? EIO : ENOSPC;
    ASSERT_TRUE(control::await([&] { return leader() >= 0 && leader() != leader_index; }))
        << "no other instance became leader";
    ASSERT_TRUE(control::await([&] { return query(leader_index).disk_fails(); }));
    EXPECT_GT(query(leader_index).published(), 0u) << "the published set must stay served";
    faults.*fail = 0;
    ASSERT_TRUE(
        control::await([&] { return !query(leader_index).disk_fails() && has_quorum(leader_index); }));
  }
  EXPECT_TRUE(agree({0, 1, 2}));
}

TEST_F(ReplicaProcessesTest, WrongWallClockChangesNoDecision) {
  ASSERT_TRUE(control::await(
      [&] { return leader() >= 0 && query(leader(), "nodes").nodes(1).state() == "serving"; }));
  int leader_index = leader();
  // An hour ahead, reports look old, which must not matter; an hour behind, they look as if they came from
  // the future.
  for (std::int64_t hours : {1, -1}) {
    (*(*fleet)[leader_index].faults)->wall_clock_offset_ns = hours * 3600 * kSecond;
    std::uint64_t before = query(leader_index).epoch();
    ASSERT_TRUE(control::await([&] { return query(leader_index).epoch() > before + 3; }));
    EXPECT_EQ(leader(), leader_index);
    EXPECT_EQ(query(leader_index).shards_closed(), 0u);
  }
  (*(*fleet)[leader_index].faults)->wall_clock_offset_ns = 0;
  EXPECT_TRUE(agree({0, 1, 2}));
}

struct ReplicaFormatTest : ReplicaProcessesTest {
  ReplicaFormatTest() : ReplicaProcessesTest({"--hold-format", "1"}) {}
  std::string query_drain(int at) {
    control::AdminAnswer answer = query(at, "drain n1");
    return answer.error() + answer.done();
  }
};

TEST_F(ReplicaFormatTest, NewerFormatIsWrittenOnceAllInstancesKnowIt) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  fleet->set_extra_options({});
  for (int at = 0; at < 3; ++at) {
    ASSERT_TRUE(control::await([&] {
      return query_drain(at).find("knows no releases yet") != std::string::npos;
    })) << query_drain(at);
    (*fleet)[at].process.end(SIGTERM);
    fleet->start(at);
    ASSERT_TRUE(control::await([&] { return has_quorum(at) && leader() >= 0; }));
  }
  ASSERT_TRUE(control::await([&] { return query_drain(0).find("of 1 servers ") != std::string::npos; }))
      << query_drain(0);
  EXPECT_TRUE(agree({0, 1, 2}));
  // An older version must not continue from entries agreed in the newer format.
  fleet->set_extra_options({"--hold-format", "1"});
  (*fleet)[2].process.end(SIGTERM);
  fleet->start(2);
  ASSERT_TRUE(control::await([&] { return leader() >= 0 && leader() != 2; }));
  control::await([&] { return false; }, 1500);
  EXPECT_FALSE(has_quorum(2));
  std::ifstream in(fleet->log(2));
  std::string output((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(output.find("newer form"), std::string::npos);
}

}  // namespace
}  // namespace myrtlecroft
