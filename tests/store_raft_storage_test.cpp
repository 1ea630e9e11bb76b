// StoreRaftStorage: the vote, entries and snapshots that were saved are loaded again.
#include "consensus/store_raft_storage.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <memory>

#include "temporary_folder_test.h"

namespace myrtlecroft {
namespace {

struct StoreRaftStorageTest : TemporaryFolderTest {
  std::unique_ptr<consensus::StoreRaftStorage> open() {
    return std::make_unique<consensus::StoreRaftStorage>(
        folder, [this] { return ++now; }, [] {});
  }
  static consensus::LogEntry entry(std::uint64_t term, const std::string& data) {
    consensus::LogEntry out;
    out.set_term(term);
    out.set_type(1);
    out.set_data(data);
    return out;
  }
  static void append(consensus::StoreRaftStorage& storage, std::uint64_t first,
                     std::vector<consensus::LogEntry> entries) {
    bool done = false;
    storage.append(first, std::move(entries), [&](bool durable) { done = durable; });
    for (int i = 0; i < 2000 && !done; ++i) {
      storage.run_completions();
      ::usleep(1000);
    }
    ASSERT_TRUE(done);
  }
  std::atomic<Nanos> now = 0;
};

TEST_F(StoreRaftStorageTest, SavedStateIsLoadedAgain) {
  {
    auto storage = open();
    storage->set_owner(3);
    ASSERT_TRUE(storage->save_vote(4, 2));
    append(*storage, 1, {entry(3, "a"), entry(3, "b"), entry(4, "c")});
  }
  auto storage = open();
  consensus::PersistentState loaded = storage->load();
  EXPECT_EQ(storage->owner(), 3u);
  EXPECT_EQ(loaded.term, 4u);
  EXPECT_EQ(loaded.voted_for, 2u);
  ASSERT_EQ(loaded.entries.size(), 3u);
  EXPECT_EQ(loaded.entries[2].data(), "c");
}

TEST_F(StoreRaftStorageTest, TruncatedEntriesAreNotLoaded) {
  {
    auto storage = open();
    append(*storage, 1, {entry(1, "a"), entry(1, "b"), entry(1, "c")});
    storage->truncate(2);
    append(*storage, 2, {entry(2, "other")});
  }
  consensus::PersistentState loaded = open()->load();
  ASSERT_EQ(loaded.entries.size(), 2u);
  EXPECT_EQ(loaded.entries[1].data(), "other");
}

TEST_F(StoreRaftStorageTest, SnapshotReplacesTheEntriesItCovers) {
  {
    auto storage = open();
    append(*storage, 1, {entry(1, "a"), entry(1, "b"), entry(1, "c"), entry(1, "d")});
    consensus::LogSnapshot snapshot;
    snapshot.set_index(3);
    snapshot.set_term(1);
    snapshot.set_data("state");
    bool done = false;
    storage->save_snapshot(snapshot, 3, [&](bool durable) { done = durable; });
    for (int i = 0; i < 2000 && !done; ++i) {
      storage->run_completions();
      ::usleep(1000);
    }
    ASSERT_TRUE(done);
  }
  consensus::PersistentState loaded = open()->load();
  ASSERT_TRUE(loaded.snapshot);
  EXPECT_EQ(loaded.snapshot->data(), "state");
  EXPECT_EQ(loaded.first, 3u);
  ASSERT_EQ(loaded.entries.size(), 2u);
  EXPECT_EQ(loaded.entries[0].data(), "c");
}

}  // namespace
}  // namespace myrtlecroft
