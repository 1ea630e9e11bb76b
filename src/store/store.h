// An embedded, crash-safe key-value store: an append-only log in segments, an in-memory index, hint files for
// fast recovery, records that expire after a window, and incremental compaction. Not thread-safe;
// GroupCommitter runs a store on a thread of its own for programs with an event loop. See
// docs/design/store.md for the design.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/hint_file.h"
#include "store/manifest.h"
#include "store/record.h"
#include "store/record_index.h"
#include "store/segment.h"
#include "store/store_error.h"

namespace myrtlecroft::store {

// Settings of segment sizes and compaction.
struct StoreOptions {
  std::size_t segment_bytes = std::size_t{64} << 20;  // a segment is sealed once it has this size
  double dead_share = 0.5;  // a sealed segment is compacted from this share of dead bytes on
  std::size_t slice_bytes = std::size_t{256} << 10;  // bytes of a segment that one compaction slice reads
  std::size_t max_small_segments = 16;  // with more small sealed segments, the smallest is compacted
};

// What open() found in the folder.
struct RecoveryStats {
  std::size_t segments = 0;
  std::size_t segments_from_hints = 0;  // segments recovered from their hint files, not by a scan
  std::size_t records_read = 0;
  std::size_t live_records = 0;     // in the index after recovery, tombstones included
  std::uint64_t bytes = 0;          // total size of the segments
  std::uint64_t skipped_bytes = 0;  // not part of a valid record: a torn tail or damage
};

// Counters since the Store object was created.
struct StoreStats {
  std::uint64_t appended_bytes = 0;  // bytes of records and tombstones that callers added
  std::uint64_t written_bytes = 0;   // all bytes: also compaction copies, headers, hint files, manifests
  std::uint64_t syncs = 0;
  std::uint64_t removed_segments = 0;  // by compaction
};

// The store of one folder. `disk` must outlive it.
class Store {
 public:
  // `clock` returns monotonic nanoseconds from any origin; the store never reads the wall clock. `seed` seeds
  // the generator of segment salts.
  Store(Disk& disk, const StoreOptions& options, std::function<Nanos()> clock, std::uint32_t seed);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Locks the folder and recovers the index from its files. Must be called once, before any other call.
  // Throws StoreError or DiskError.
  RecoveryStats open();

  // Returns the store time in nanoseconds. It continues from the latest time found on the disk and doesn't
  // advance while no process has the store open, so that neither a crash nor a step of the wall clock
  // shortens a window.
  Nanos now() const { return store_time_at_open_ + (clock_() - clock_at_open_); }

  // Adds a record to the next commit. The record expires after `window`; 0: never. Throws StoreError if the
  // key exceeds kMaxKeyBytes or the value kMaxValueBytes.
  void put(std::string key, std::string value, Nanos window);
  // Adds a tombstone for the key to the next commit.
  void erase(const std::string& key);
  // Writes and syncs the added records as one batch. If it throws DiskError, it is unknown which records of
  // the batch are on the disk, none of them is in the index, and the next commit goes to a new segment.
  void commit();

  // Whether the key has a committed value that has not expired.
  bool contains(const std::string& key) const { return index_.contains(key, now()); }
  // Returns the key's committed record; nothing if contains() is false or the record on the disk is damaged.
  // Throws DiskError.
  std::optional<Record> get(const std::string& key);
  // Visits the record of every key for which contains() is true, in disk order. Throws DiskError.
  void for_each(const std::function<void(const Record&)>& visit);

  // Removes expired keys from the index and runs one compaction slice, whose copies are written by the next
  // commit. Returns false if there is nothing to compact. Throws DiskError.
  bool compact_slice();

  // Returns the number of keys, including erased keys until their tombstone expires.
  std::size_t size() const { return index_.size(); }
  // Returns the number of live segments.
  std::size_t segments() const { return segments_.size(); }
  const StoreStats& stats() const { return stats_; }

 private:
  // The location that compaction copied a record from.
  struct CopySource {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
  };
  struct PendingRecord {
    Record record;
    std::optional<CopySource> copied_from;  // set for copies made by compaction
  };
  struct Compaction {
    std::uint64_t segment = 0;  // 0: no compaction is in progress
    std::uint64_t next_offset = 0;
    bool all_copied = false;  // all live records are in the batch or committed
  };

  // Defined in store_recovery.cpp.
  void find_live_segments(const Manifest& manifest, const std::vector<std::string>& files);
  void recover_segment(std::uint64_t number, RecoveryStats& stats);
  bool recover_from_hints(std::uint64_t number, RecoveryStats& stats);
  void remove_dead_files(const std::vector<std::string>& files);
  void replace_manifest();
  // Defined in store.cpp.
  void start_segment();
  std::vector<RecordLocation> write_batch();
  void index_batch(const std::vector<RecordLocation>& locations);
  void abandon_batch();
  void seal_full_segment();
  // Defined in store_compaction.cpp.
  std::optional<std::uint64_t> choose_segment_to_compact() const;
  bool should_rewrite(const SegmentState& segment) const;
  void copy_slice();
  void finish_compaction();
  void remove_segment(std::uint64_t number);

  Disk& disk_;
  StoreOptions options_;
  std::function<Nanos()> clock_;
  std::mt19937_64 random_;
  Nanos store_time_at_open_ = 0;  // store time when open() was called
  Nanos clock_at_open_ = 0;       // clock_() at the same moment
  std::uint64_t sequence_ = 0;    // of the latest record
  std::uint64_t next_segment_ = 1;
  SegmentTable segments_;
  RecordIndex index_{segments_};
  std::vector<PendingRecord> batch_;   // records of the next commit
  std::uint64_t active_segment_ = 0;   // the segment that commits append to; 0: the next commit starts one
  std::unique_ptr<File> active_file_;  // of the active segment
  std::vector<Hint> active_hints_;     // hints of the active segment's records
  Compaction compaction_;
  StoreStats stats_;
};

}  // namespace myrtlecroft::store
