// An embedded key-value store that survives a crash: an append-only log in segments, an index in memory, hint
// files for quick recovery, expiry by window, and compaction in slices. Used by one thread; GroupCommitter
// runs a store beside an event loop. It owns the folder's files, not the Disk. docs/design/store.md says why.
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

struct StoreOptions {
  std::size_t segment_bytes = std::size_t{64} << 20;  // a segment of this size is sealed
  double dead_share = 0.5;                            // of a sealed segment's bytes, for it to be compacted
  std::size_t slice_bytes = std::size_t{256} << 10;   // of a segment, read in one slice of compaction
  std::size_t max_small_segments = 16;                // sealed segments beyond which the smallest is merged
};

// What open() read.
struct RecoveryStats {
  std::size_t segments = 0;
  std::size_t segments_from_hints = 0;  // of them, read from their hint files
  std::size_t records_read = 0;
  std::size_t live_records = 0;     // in the index afterwards
  std::uint64_t bytes = 0;          // of the segments
  std::uint64_t skipped_bytes = 0;  // not part of a valid record: a torn tail, or damage
};

// Since the store was created.
struct StoreStats {
  std::uint64_t appended_bytes = 0;  // bytes of records that callers put or erased
  std::uint64_t written_bytes = 0;   // bytes in all, with compaction's copies, headers, hints and manifests
  std::uint64_t syncs = 0;
  std::uint64_t removed_segments = 0;  // segments removed
};

class Store {
 public:
  // `clock`: monotonic nanoseconds with any origin; the wall clock is never read. `seed`: of the salts.
  Store(Disk& disk, const StoreOptions& options, std::function<Nanos()> clock, std::uint32_t seed);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Takes the folder's lock and reads what is there; call once, before anything else. Throws StoreError or
  // DiskError.
  RecoveryStats open();

  // Store time: continues from the latest time written, and stands still while no process has the store open,
  // so that neither a crash nor a step of the wall clock shortens a window.
  Nanos now() const { return time_at_open_ + (clock_() - opened_at_); }

  // Adds a record to the next commit; it expires `window` after now, never where that is 0. Throws StoreError
  // beyond kMaxKeyBytes and kMaxValueBytes.
  void put(std::string key, std::string value, Nanos window);
  // Adds an erasure of the key to the next commit.
  void erase(const std::string& key);
  // Writes and syncs what was added. Where it throws DiskError it is unknown what of it is on the disk, none
  // of it is in the index, and the next commit goes to a new segment.
  void commit();

  // Whether the key has a committed value that has not expired.
  bool contains(const std::string& key) const { return index_.contains(key, now()); }
  // None: it has no value, or its record can't be read any more. Throws DiskError.
  std::optional<Record> get(const std::string& key);
  // Visits every record that contains() holds for, in the order they lie on the disk.
  void for_each(const std::function<void(const Record&)>& visit);

  // Removes expired keys from the index and does one slice of compaction, whose copies go with the next
  // commit. False: there is nothing to compact. Throws DiskError.
  bool compact_slice();

  std::size_t size() const { return index_.size(); }
  std::size_t segments() const { return segments_.size(); }
  const StoreStats& stats() const { return stats_; }

 private:
  struct CopySource {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
  };
  struct PendingRecord {
    Record record;
    std::optional<CopySource> copied_from;  // of compaction's copies
  };
  struct Compaction {
    std::uint64_t segment = 0;  // 0: none under way
    std::uint64_t next_offset = 0;
    bool all_copied = false;  // its live records are in the batch or committed
  };

  // store_recovery.cpp
  void find_live_segments(const Manifest& manifest, const std::vector<std::string>& files);
  void recover_segment(std::uint64_t number, RecoveryStats& stats);
  bool recover_from_hints(std::uint64_t number, RecoveryStats& stats);
  void remove_dead_files(const std::vector<std::string>& files);
  void replace_manifest();
  // store.cpp
  void start_segment();
  std::vector<RecordLocation> write_batch();
  void index_batch(const std::vector<RecordLocation>& locations);
  void abandon_batch();
  void seal_full_segment();
  // store_compaction.cpp
  std::optional<std::uint64_t> next_to_compact() const;
  bool should_rewrite(const SegmentState& segment) const;
  void copy_slice();
  void finish_compaction();
  void retire(std::uint64_t number);

  Disk& disk_;
  StoreOptions options_;
  std::function<Nanos()> clock_;
  std::mt19937_64 random_;
  Nanos time_at_open_ = 0;
  Nanos opened_at_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_segment_ = 1;
  SegmentTable segments_;
  RecordIndex index_{segments_};
  std::vector<PendingRecord> batch_;
  std::uint64_t active_segment_ = 0;   // the one that is appended to; 0: the next commit starts one
  std::unique_ptr<File> active_file_;  // of the active segment
  std::vector<Hint> active_hints_;     // of its records
  Compaction compaction_;
  StoreStats stats_;
};

}  // namespace myrtlecroft::store
