// Compaction: expired and erased records are dropped, small segments are merged.
#include <gtest/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

TEST(StoreCompactionTest, ExpiredSegmentIsRemovedWithoutCopies) {
  StoreProcess process;
  process.store.open();
  for (int i = 0; i < 60; ++i) process.put("key" + std::to_string(i), std::string(50, 'v'));
  std::size_t max = process.store.segments();
  std::uint64_t written_bytes = process.store.stats().written_bytes;
  process.time += kWindow;
  for (int i = 0; i < 20; ++i) process.store.compact_slice();
  EXPECT_LT(process.store.segments(), 3u);
  EXPECT_GT(max, 5u);
  EXPECT_EQ(process.store.size(), 0u);
  EXPECT_LT(process.store.stats().written_bytes - written_bytes, 2'000u);  // only manifests were written
  // Expired records that are still on the disk must also be expired after a restart.
  auto next = restart(process);
  EXPECT_EQ(next->store.size(), 0u);
}

TEST(StoreCompactionTest, ErasedKeyDoesNotReturnFromAnOlderSegment) {
  StoreProcess process;
  process.store.open();
  process.put("erased", std::string(300, 'x'));
  for (int i = 0; i < 10; ++i) process.put("fill" + std::to_string(i), std::string(100, 'v'));
  process.store.erase("erased");
  process.store.commit();
  for (int i = 0; i < 60; ++i) {
    process.put("more" + std::to_string(i % 4), std::string(100, 'v'));
    process.store.compact_slice();
    EXPECT_EQ(restart(process)->get("erased"), "none");
  }
  EXPECT_GT(process.store.stats().removed_segments, 3u);
}

TEST(StoreCompactionTest, ManyRestartsLeaveFewSegments) {
  auto process = std::make_unique<StoreProcess>();
  process->store.open();
  for (int i = 0; i < 60; ++i) {
    process->put("key" + std::to_string(i), "v");
    for (int j = 0; j < 4; ++j) {
      process->store.compact_slice();
      process->store.commit();
    }
    process = restart(*process);
  }
  EXPECT_LT(process->store.segments(), 12u);
  for (int i = 0; i < 60; ++i) EXPECT_EQ(process->get("key" + std::to_string(i)), "v");
}

}  // namespace
}  // namespace myrtlecroft::store
