// An embedded store of what must outlive a crash: an append-only log in segments, an index in memory, hints
// for quick recovery, expiry by window and compaction in slices. All calls from one thread; Committer puts
// one beside a loop. docs/design/store.md weighs the options.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/disk.h"
#include "store/record.h"

namespace myrtlecroft::store {

// The folder can't be used as it is, and why: for the operators.
struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StoreOptions {
  std::size_t segment_bytes = std::size_t{64} << 20;  // from here on a segment is sealed
  double dead_share = 0.5;                            // of a sealed segment, for it to be compacted
  std::size_t slice_bytes = std::size_t{256} << 10;   // of a segment, looked at in one slice of compaction
  std::size_t max_small = 16;                         // sealed segments beyond which the smallest is merged
};

// What was found at the start.
struct RecoveryStats {
  std::size_t segments = 0;
  std::size_t segments_from_hints = 0;  // of them, known from their hints
  std::size_t records_read = 0;
  std::size_t live_records = 0;
  std::uint64_t bytes = 0;
  std::uint64_t skipped_bytes = 0;  // bytes that were no record: a torn tail, or damage
};

struct StoreStats {
  std::uint64_t appended = 0;  // bytes of records that were put
  std::uint64_t written = 0;   // bytes in all, with copies, heads and hints
  std::uint64_t syncs = 0;
  std::uint64_t retired = 0;  // segments
};

class Store {
 public:
  // `clock`: nanoseconds that never go back, from anywhere; the wall clock is never asked.
  Store(Disk& disk, const StoreOptions& options, std::function<Nanos()> clock, std::uint32_t seed);

  // Reads all that is there. Throws StoreError or DiskError.
  RecoveryStats open();

  // The store's own time: goes on from the last that was written. It stands still while no process has the
  // store open, so that no window is ever shorter for a crash or a step of the wall clock.
  Nanos now() const { return base_ + (clock_() - opened_at_); }

  // For the next commit.
  void put(std::string key, std::string value, Nanos window);
  void erase(const std::string& key);
  // Writes and syncs all that was put. Throws DiskError: then nothing is known of any of it, none of it is in
  // the index, and what follows goes to another segment.
  void commit();

  bool contains(const std::string& key) const;
  std::optional<Record> get(const std::string& key);
  // Every record that is known and not over, in the order of the disk.
  void for_each(const std::function<void(const Record&)>& tell);

  // Forgets what is over, and does one slice of compaction, whose copies go with the next commit. False:
  // there is nothing to compact.
  bool compact_slice();

  std::size_t size() const { return index_.size(); }
  std::size_t segments() const { return segments_.size(); }
  const StoreStats& stats() const { return totals_; }

 private:
  struct Segment {
    std::uint64_t salt = 0;
    std::uint64_t bytes = 0;
    std::uint64_t live = 0;
    bool sealed = false;
  };
  struct Entry {
    Kind kind = Kind::kValue;
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    std::uint32_t bytes = 0;
    std::uint64_t sequence = 0;
    Nanos at = 0;
    Nanos window = 0;
    std::multimap<Nanos, const std::string*>::iterator expiry;
    bool expires = false;
  };
  static Entry entry_of(const Record& record, std::uint64_t segment, std::uint64_t offset, std::size_t bytes);
  using Index = std::unordered_map<std::string, Entry>;
  struct Hinted {
    std::string key;
    Entry entry;
  };
  struct Pending {
    Record record;
    bool copy = false;
    std::uint64_t from = 0;  // a copy's: the segment it is copied out of
    std::uint64_t from_offset = 0;
  };

  void write_manifest();
  void recover_segment(std::uint64_t number, RecoveryStats& found);
  bool recover_by_hint(std::uint64_t number, Segment& segment, RecoveryStats& found);
  void write_hint(std::uint64_t number);
  void apply(const std::string& key, const Entry& entry);
  void forget(Index::iterator place);
  void expire();
  void open_segment();
  void abandon();
  void retire(std::uint64_t number);
  std::optional<std::uint64_t> to_compact() const;

  Disk& disk_;
  StoreOptions options_;
  std::function<Nanos()> clock_;
  std::mt19937_64 random_;
  Nanos base_ = 0;
  Nanos opened_at_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_segment_ = 1;
  std::map<std::uint64_t, Segment> segments_;
  Index index_;
  std::multimap<Nanos, const std::string*> expiries_;
  std::vector<Pending> batch_;
  std::unique_ptr<File> file_;  // the segment that is written, the last one; none: the next commit makes one
  std::uint64_t active_ = 0;
  std::vector<Hinted> hinted_;  // what is in it
  std::uint64_t compacting_ = 0;
  std::uint64_t compacted_to_ = 0;
  bool copies_out_ = false;  // all of it is in the batch or committed
  StoreStats totals_;
};

// Which segments count. What lies behind `next` was made later and is live; before it, what is not named is a
// rest of compaction. One that is not there or is damaged says nothing: then every segment is live, which is
// safe, since what compaction leaves behind are older copies of the same records.
struct Manifest {
  bool there = false;
  bool good = false;
  std::uint64_t next = 0;
  Nanos time = 0;  // of the store
  std::vector<std::uint64_t> live;
  bool names(std::uint64_t segment) const;
};
// `names`: what the folder holds.
Manifest read_manifest(Disk& disk, const std::vector<std::string>& names);

std::string segment_name(std::uint64_t number);
std::string hint_name(std::uint64_t number);
// The number of a segment's file; none: the name is another's.
std::optional<std::uint64_t> segment_number(const std::string& name);

// Every record of a segment in order, passing over what is none. Returns the bytes passed over.
std::uint64_t scan(Disk& disk, const std::string& name, const SegmentHead& head, std::uint64_t from,
                   const std::function<bool(const Record&, std::uint64_t offset, std::size_t size)>& tell);

}  // namespace myrtlecroft::store
