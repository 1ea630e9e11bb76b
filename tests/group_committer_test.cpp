// GroupCommitter driven by a simulated event loop, on a disk that is slow or fails.
#include "store/group_committer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

struct GroupCommitterTest : testing::Test {
  GroupCommitterTest() : store(disk, {}, steady_now, 1) { store.open(); }
  void start_committer(CommitterOptions options = {.slow_commit_threshold = 30 * kMs,
                                                   .initial_backoff = 5 * kMs,
                                                   .max_backoff = 20 * kMs}) {
    committer = std::make_unique<GroupCommitter>(store, options, steady_now, [this] { ++wakes; });
  }
  // Runs the event loop until the condition is true, for at most five seconds. Returns whether it became
  // true.
  bool run_until(const std::function<bool()>& condition) {
    for (int i = 0; i < 5'000 && !condition(); ++i) {
      if (wakes.exchange(0)) committer->deliver_completions();
      usleep(1'000);
    }
    return condition();
  }
  void put(const std::string& key) {
    committer->put(key, "v", kWindow,
                   [this](bool durable) { ++(durable ? durable_records : failed_records); });
  }

  FakeDisk disk;
  Store store;
  std::atomic<int> wakes = 0;
  int durable_records = 0;
  int failed_records = 0;
  std::unique_ptr<GroupCommitter> committer;
};

TEST_F(GroupCommitterTest, ManyRecordsShareOneSyncAndNoneCompletesBeforeIt) {
  std::atomic<bool> sync_blocked = true;
  disk.on_sync = [&] {
    while (sync_blocked) usleep(500);
  };
  start_committer();
  for (int i = 0; i < 500; ++i) put("key" + std::to_string(i));
  usleep(50'000);
  committer->deliver_completions();
  EXPECT_EQ(durable_records, 0);
  EXPECT_EQ(committer->health(), DiskHealth::kSlow);
  put("another");  // put() returns although the sync is blocked
  sync_blocked = false;
  EXPECT_TRUE(run_until([&] { return durable_records == 501; }));
  EXPECT_EQ(committer->health(), DiskHealth::kHealthy);
  EXPECT_LT(committer->take_stats().commits, 20u);
}

TEST_F(GroupCommitterTest, FailedDiskRejectsAtOnceAndRecovers) {
  start_committer();
  put("a");
  ASSERT_TRUE(run_until([&] { return durable_records == 1; }));
  disk.every_operation_fails = true;
  put("b");
  ASSERT_TRUE(run_until([&] { return failed_records == 1; }));
  EXPECT_EQ(committer->health(), DiskHealth::kFailed);
  put("c");
  committer->deliver_completions();
  EXPECT_EQ(failed_records, 2);
  disk.every_operation_fails = false;
  EXPECT_TRUE(run_until([&] { return committer->health() == DiskHealth::kHealthy; }));
  put("d");
  EXPECT_TRUE(run_until([&] { return durable_records == 2; }));
}

TEST_F(GroupCommitterTest, QueuedRecordsAreCommittedOnDestruction) {
  start_committer();
  for (int i = 0; i < 50; ++i) put("key" + std::to_string(i));
  committer.reset();
  EXPECT_TRUE(store.contains("key49"));
}

TEST_F(GroupCommitterTest, QueueIsBounded) {
  std::atomic<bool> sync_blocked = true;
  disk.on_sync = [&] {
    while (sync_blocked) usleep(500);
  };
  start_committer({.max_queued_records = 20});
  for (int i = 0; i < 100; ++i) put("key" + std::to_string(i));
  committer->deliver_completions();
  EXPECT_GE(failed_records, 60);
  sync_blocked = false;
  EXPECT_TRUE(run_until([&] { return durable_records + failed_records == 100; }));
}

}  // namespace
}  // namespace myrtlecroft::store
