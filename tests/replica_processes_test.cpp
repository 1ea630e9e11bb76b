// Real instances of the control service: killed at any sync, with failing disks, wrong clocks, two formats.
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
  std::string said((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(said.find("is the log of instance 1"), std::string::npos) << said;
  std::filesystem::remove(log);
}

// Real instances, two servers that report to all of them, and no proxy.
struct ReplicaProcessesTest : TemporaryFolderTest {
  explicit ReplicaProcessesTest(std::vector<std::string> more = {}) {
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
                                       .more = more},
        taken);
    fleet->start_all();
    for (const auto& place : fleet->all()) {
      reporters.push_back(std::make_unique<control::Reporters>(static_cast<std::uint16_t>(place.reports)));
      reporters.back()->add("n1", "127.0.0.1:20001");
      reporters.back()->add("n2", "127.0.0.1:20002");
    }
  }
  ~ReplicaProcessesTest() override { fleet.reset(); }
  control::AdminAnswer ask(int at, const std::string& question = "instances") {
    try {
      return control::AdminClient(net::loopback(static_cast<std::uint16_t>((*fleet)[at].admin)))
          .call(question);
    } catch (const std::exception&) {
      return {};
    }
  }
  int leader() {
    for (int i = 0; i < fleet->size(); ++i) {
      control::AdminAnswer answer = ask(i);
      if (answer.in_touch() && answer.leader() == static_cast<std::uint64_t>(i + 1)) return i;
    }
    return -1;
  }
  bool votes(int at) {
    int asked = leader();
    if (asked < 0) return false;
    control::AdminAnswer answer = ask(asked);
    return std::any_of(answer.instances().begin(), answer.instances().end(), [&](const auto& row) {
      return row.id() == static_cast<std::uint64_t>(at + 1) && row.part() == "votes";
    });
  }
  bool has_quorum(int at) { return ask(at).in_touch(); }
  // Two that were asked at one epoch say the same state.
  bool agree(const std::vector<int>& asked) {
    return control::await([&] {
      std::set<std::string> digests;
      std::set<std::uint64_t> epochs;
      for (int at : asked) {
        control::AdminAnswer answer = ask(at);
        digests.insert(answer.digest());
        epochs.insert(answer.epoch());
      }
      return epochs.size() == 1 && digests.size() == 1 && *epochs.begin() > 0;
    });
  }
  // A server that says again and again that it leaves and stays: decisions without end.
  void flap(bool draining) {
    for (auto& one : reporters) one->set("n1", [&](auto& report) { report.draining = draining; });
  }
  std::set<int> taken;
  std::unique_ptr<standin::ControlCluster> fleet;
  std::vector<std::unique_ptr<control::Reporters>> reporters;
};

// A new instance writes who it is, its vote, what it is sent and that it belongs: killed at each of these.
TEST_F(ReplicaProcessesTest, InstanceJoinsAfterItWasKilledAtAnySyncOfJoining) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  int killed = 0;
  for (int sync = 1; sync <= 6; ++sync) {
    int at = fleet->add();
    standin::ControlCluster::ReplicaProcess& place = (*fleet)[at];
    place.faults->crash_after_syncs(sync);
    fleet->start(at, standin::ControlCluster::Start::kJoin);
    ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
    auto let_in = [&] {
      return "let-in " + std::to_string(at + 1) + " " + standin::loopback_address(place.peer);
    };
    ASSERT_TRUE(control::await([&] {
      if (!place.process.has_exited()) return votes(at) || (ask(leader(), let_in()), false);
      ++killed;
      (*place.faults)->crash_at_sync = 0;
      fleet->start(at, standin::ControlCluster::Start::kJoin);
      return false;
    })) << "killed at sync "
        << sync;
    ASSERT_TRUE(agree({leader(), at}));
    ASSERT_TRUE(control::await([&] {
      ask(leader(), "let-out " + std::to_string(at + 1));
      return !votes(at);
    }));
    place.process.end(SIGKILL);
  }
  EXPECT_GE(killed, 4);
}

struct ReplicaSnapshotTest : ReplicaProcessesTest {
  ReplicaSnapshotTest() : ReplicaProcessesTest({"--snapshot-after", "8"}) {}
};

TEST_F(ReplicaSnapshotTest, InstanceKnowsAllAgreedEntriesAfterItWasKilledAtAnySyncOfASnapshot) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  bool draining = false;
  for (int sync = 1; sync <= 8; ++sync) {
    int led = leader();
    int at = (std::max(0, led) + 1) % 3;
    standin::ControlCluster::ReplicaProcess& place = (*fleet)[at];
    std::uint64_t before = ask(at).epoch();
    place.faults->crash_after_syncs(sync);
    ASSERT_TRUE(control::await([&] {
      flap(draining = !draining);
      return place.process.has_exited();
    })) << "sync "
        << sync;
    (*place.faults)->crash_at_sync = 0;
    fleet->start(at);
    ASSERT_TRUE(control::await([&] { return has_quorum(at); })) << "sync " << sync;
    EXPECT_GE(ask(at).epoch(), before);
  }
  flap(false);
  EXPECT_TRUE(agree({0, 1, 2}));
  EXPECT_GT(ask(0).epoch(), 16u) << "snapshots were taken on the way";
}

TEST_F(ReplicaProcessesTest, InstanceWithAFailingDiskServesAndDoesNotLead) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0 && ask(leader()).published() > 0; }));
  int led = leader();
  for (auto fail : {&standin::Faults::sync_error, &standin::Faults::write_error}) {
    led = leader();
    standin::Faults& faults = *(*fleet)[led].faults->operator->();
    faults.*fail = fail == &standin::Faults::sync_error ? EIO : ENOSPC;
    ASSERT_TRUE(control::await([&] { return leader() >= 0 && leader() != led; })) << "another leads";
    ASSERT_TRUE(control::await([&] { return ask(led).disk_fails(); }));
    EXPECT_GT(ask(led).published(), 0u) << "what it served it serves on";
    faults.*fail = 0;
    ASSERT_TRUE(control::await([&] { return !ask(led).disk_fails() && has_quorum(led); }));
  }
  EXPECT_TRUE(agree({0, 1, 2}));
}

TEST_F(ReplicaProcessesTest, WrongWallClockChangesNoDecision) {
  ASSERT_TRUE(
      control::await([&] { return leader() >= 0 && ask(leader(), "nodes").nodes(1).state() == "serving"; }));
  int led = leader();
  // An hour ahead: reports look old, which is nothing. Then behind: they look as if from the future.
  for (std::int64_t hours : {1, -1}) {
    (*(*fleet)[led].faults)->wall_clock_offset_ns = hours * 3600 * kSecond;
    std::uint64_t before = ask(led).epoch();
    ASSERT_TRUE(control::await([&] { return ask(led).epoch() > before + 3; }));
    EXPECT_EQ(leader(), led);
    EXPECT_EQ(ask(led).shards_closed(), 0u);
  }
  (*(*fleet)[led].faults)->wall_clock_offset_ns = 0;
  EXPECT_TRUE(agree({0, 1, 2}));
}

struct ReplicaFormatTest : ReplicaProcessesTest {
  ReplicaFormatTest() : ReplicaProcessesTest({"--hold-format", "1"}) {}
  std::string drain(int at) {
    control::AdminAnswer answer = ask(at, "drain n1");
    return answer.error() + answer.done();
  }
};

TEST_F(ReplicaFormatTest, NewerFormatIsWrittenOnceAllInstancesKnowIt) {
  ASSERT_TRUE(control::await([&] { return leader() >= 0; }));
  fleet->set_extra_options({});
  for (int at = 0; at < 3; ++at) {
    ASSERT_TRUE(control::await([&] { return drain(at).find("knows no releases yet") != std::string::npos; }))
        << drain(at);
    (*fleet)[at].process.end(SIGTERM);
    fleet->start(at);
    ASSERT_TRUE(control::await([&] { return has_quorum(at) && leader() >= 0; }));
  }
  ASSERT_TRUE(control::await([&] { return drain(0).find("of 1 servers ") != std::string::npos; }))
      << drain(0);
  EXPECT_TRUE(agree({0, 1, 2}));
  // What was agreed in the newer form, an older version must not go on from.
  fleet->set_extra_options({"--hold-format", "1"});
  (*fleet)[2].process.end(SIGTERM);
  fleet->start(2);
  ASSERT_TRUE(control::await([&] { return leader() >= 0 && leader() != 2; }));
  control::await([&] { return false; }, 1500);
  EXPECT_FALSE(has_quorum(2));
  std::ifstream in(fleet->log(2));
  std::string said((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(said.find("newer form"), std::string::npos);
}

}  // namespace
}  // namespace myrtlecroft
