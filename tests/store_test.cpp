// Durability of commits with crashes and faults at every disk operation, and expiry of records.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <utility>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

TEST(StoreTest, CommittedRecordsAreReadAfterARestart) {
  StoreProcess process;
  process.store.open();
  for (int i = 0; i < 40; ++i)
    process.put("key" + std::to_string(i), std::string(50, 'v') + std::to_string(i));
  process.put("key7", "newer");
  process.store.erase("key8");
  process.store.commit();
  auto next = restart(process);
  EXPECT_EQ(next->get("key7"), "newer");
  EXPECT_EQ(next->get("key8"), "none");
  EXPECT_EQ(next->get("key39"), std::string(50, 'v') + "39");
  EXPECT_GT(next->store.segments(), 2u);
}

TEST(StoreTest, CrashAtAnyDiskOperationLosesNoAcknowledgedRecord) {
  int operations = 0;
  {
    StoreProcess process;
    Model model;
    process.store.open();
    write_randomly(process, model, 3, 40);
    operations = process.disk->operation_count;
    EXPECT_GT(process.store.stats().removed_segments, 1u);
  }
  ASSERT_GT(operations, 80);
  for (int step = 1; step <= operations; ++step) {
    for (unsigned loss_pattern = 0; loss_pattern < 6; ++loss_pattern) {
      StoreProcess process;
      Model model;
      process.disk->crash_at_operation = step;
      try {
        process.store.open();
        write_randomly(process, model, 3, 40);
      } catch (const Crashed&) {
      }
      std::mt19937 random(loss_pattern);
      auto survives = [&] {
        return loss_pattern == 0 ? false : loss_pattern == 1 ? true : random() % 2 == 0;
      };
      StoreProcess next(process.disk->after_crash(survives));
      next.store.open();
      std::string context = "step " + std::to_string(step) + " losses " + std::to_string(loss_pattern);
      expect_contents(next, model, context);
      // The recovered store accepts more writes and recovers a second time.
      model.acknowledged.clear();
      model.unacknowledged.clear();
      write_randomly(next, model, 4, 10);
      for (int i = 0; i < 12; ++i)
        model.acknowledged.try_emplace("key" + std::to_string(i),
                                       without_dots(next.get("key" + std::to_string(i))));
      auto third = restart(next);
      expect_contents(*third, model, context + " again");
    }
  }
}

TEST(StoreTest, AnySubsetOfUnsyncedBlocksKeepsEarlierCommits) {
  StoreProcess process;
  process.store.open();
  process.put("first", "1");
  process.disk->crash_at_operation = process.disk->operation_count + 2;  // the sync of the commit below
  for (int i = 0; i < 4; ++i)
    process.store.put("next" + std::to_string(i), std::string(90, static_cast<char>('a' + i)), kWindow);
  EXPECT_THROW(process.store.commit(), Crashed);
  for (unsigned subset = 0; subset < 1u << 11; ++subset) {
    unsigned bits = subset;
    StoreProcess next(process.disk->after_crash([&] { return std::exchange(bits, bits >> 1) & 1; }));
    next.store.open();
    EXPECT_EQ(next.get("first"), "1");
    for (int i = 0; i < 4; ++i) {
      std::string got = next.get("next" + std::to_string(i));
      EXPECT_TRUE(got == "none" || got == std::string(90, static_cast<char>('a' + i)));
    }
  }
}

// A sync that succeeds after a failed one does not prove that the bytes of the failed sync are on the disk.
// The store must not report them as committed.
TEST(StoreTest, FailedSyncIsNotRepairedByALaterSync) {
  StoreProcess process;
  process.store.open();
  process.put("a", "1");
  process.disk->fail_at_operation = process.disk->operation_count + 2;
  process.store.put("b", "2", kWindow);
  EXPECT_THROW(process.store.commit(), DiskError);
  EXPECT_EQ(process.get("b"), "none");
  process.put("c", "3");
  StoreProcess next(process.disk->after_crash([] { return false; }));
  next.store.open();
  EXPECT_EQ(next.get("a"), "1");
  EXPECT_EQ(next.get("c"), "3");
}

TEST(StoreTest, FullDiskFailsItsCommitAndLaterCommitsSucceed) {
  StoreProcess process;
  process.store.open();
  process.put("a", "1");
  for (std::size_t free_bytes = 1; free_bytes < 200; free_bytes += 13) {
    process.disk->free_bytes = free_bytes;
    process.store.put("big", std::string(300, 'x'), kWindow);
    EXPECT_THROW(process.store.commit(), DiskError);
    process.disk->free_bytes = SIZE_MAX;
    process.put("after" + std::to_string(free_bytes), "2");
  }
  auto next = restart(process);
  EXPECT_EQ(next->get("a"), "1");
  EXPECT_EQ(next->get("after1"), "2");
  EXPECT_EQ(next->get("after196"), "2");
  EXPECT_EQ(next->get("big"), "none");
}

TEST(StoreTest, FaultAtAnyDiskOperationLosesNoAcknowledgedRecord) {
  for (int step = 1; step < 120; ++step) {
    StoreProcess process;
    Model model;
    std::mt19937 random(5);
    process.disk->fail_at_operation = step;
    bool open = false;
    for (int i = 0; i < 60; ++i) {
      model.unacknowledged.clear();
      try {
        if (!open) {
          process.store.open();
          open = true;
        }
        std::string key = random_key(random);
        std::string value = std::to_string(i);
        process.store.put(key, value, kWindow);
        model.unacknowledged[key] = {value};
        process.store.compact_slice();
        process.store.commit();
        model.acknowledged[key] = value;
      } catch (const DiskError&) {
        if (!open) break;  // open() reported the fault
        continue;
      }
    }
    if (!open) continue;
    expect_contents(process, model, "before restart, step " + std::to_string(step));
    StoreProcess next(process.disk->after_crash([] { return false; }));
    next.store.open();
    expect_contents(next, model, "step " + std::to_string(step));
  }
}

// Store time doesn't advance while no process has the store open, whatever the clock's origin after the
// restart.
TEST(StoreTest, RestartOrClockStepDoesNotShortenAWindow) {
  StoreProcess process(std::make_unique<FakeDisk>(), StoreProcess::small_segments(), 1'000 * kSecond);
  process.store.open();
  process.put("a", "1");
  process.time += 60 * kSecond;
  process.put("b", "2");
  EXPECT_EQ(process.get("a"), "1");
  for (Nanos clock_start : {Nanos{0}, 5 * kSecond, 1'000'000 * kSecond}) {
    StoreProcess next(process.disk->after_clean_exit(), StoreProcess::small_segments(), clock_start);
    next.store.open();
    next.time += 39 * kSecond;
    EXPECT_EQ(next.get("a"), "1");
    next.time += 2 * kSecond;
    EXPECT_EQ(next.get("a"), "none");
    EXPECT_EQ(next.get("b"), "2");
    next.time += 60 * kSecond;
    EXPECT_EQ(next.get("b"), "none");
  }
}

RC_GTEST_PROP(StorePropertyTest, RandomHistoriesWithRestartsMatchAMap, ()) {
  auto process = std::make_unique<StoreProcess>();
  process->store.open();
  std::map<std::string, std::string> expected;
  auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 8)));
  int n = 0;
  for (auto [action, key_number] : steps) {
    std::string key = "key" + std::to_string(key_number);
    if (action < 6) {
      std::string value = std::to_string(++n) + std::string(static_cast<std::size_t>(key_number) * 20, 'v');
      process->put(key, value);
      expected[key] = value;
    } else if (action == 6) {
      process->store.erase(key);
      process->store.commit();
      expected.erase(key);
    } else if (action < 9) {
      process->store.compact_slice();
      process->store.commit();
    } else {
      process = restart(*process);
    }
    for (int i = 0; i < 8; ++i) {
      std::string each = "key" + std::to_string(i);
      RC_ASSERT(process->get(each) == (expected.contains(each) ? expected[each] : "none"));
    }
  }
}

}  // namespace
}  // namespace myrtlecroft::store
