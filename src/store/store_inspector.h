// Reads a store's folder without opening the store, for the tool: what is in it and whether it is damaged.
// Writes nothing, and may run beside a process that has the store open. Any one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/manifest.h"
#include "store/segment.h"

namespace myrtlecroft::store {

struct SegmentInspection {
  std::uint64_t number = 0;
  std::uint32_t version = 0;  // of its format
  bool listed = true;         // in the manifest; else it is a remain of a compaction
  bool header_valid = true;
  bool has_hints = false;  // there is a hint file
  std::uint64_t bytes = 0;
  std::uint64_t records = 0;
  std::uint64_t current_records = 0;  // of them, the current ones of their keys
  std::uint64_t erasures = 0;         // of them
  std::uint64_t skipped_bytes = 0;    // not part of a valid record
  bool skipped_only_at_end = true;    // all of these follow the last record: a torn tail
};

struct StoreInspection {
  Manifest manifest;
  std::vector<SegmentInspection> segments;
  std::uint64_t keys = 0;  // with a value, expired or not
  std::uint64_t bytes = 0;
  Nanos store_time = 0;  // the latest that was written

  // A damaged manifest or header, or skipped bytes before a record. A torn tail is no damage: a crash leaves
  // one.
  bool damaged() const;
};

class StoreInspector {
 public:
  // Reads every segment. Throws DiskError, and StoreError for a manifest of a newer format.
  explicit StoreInspector(Disk& disk);

  const StoreInspection& inspection() const { return inspection_; }
  // Visits the current record of every key that has a value and has not expired, in the order of their
  // sequence, with its segment.
  void for_each_live_record(const std::function<void(const Record&, std::uint64_t segment)>& visit) const;

 private:
  struct CurrentRecord {
    std::uint64_t sequence = 0;
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    bool erased = false;
    Nanos written_at = 0;
    Nanos window = 0;

    bool expired(Nanos now) const { return window > 0 && now - written_at >= window; }
  };

  SegmentInspection inspect_segment(std::uint64_t number, const std::vector<std::string>& files);
  void inspect_records(SegmentInspection& segment, std::uint64_t salt);
  void note_record(const ScannedRecord& scanned, std::uint64_t segment);
  void count_current_records();

  Disk& disk_;
  StoreInspection inspection_;
  std::map<std::string, CurrentRecord> current_;  // by key
  std::map<std::uint64_t, std::uint64_t> salts_;  // by segment
};

}  // namespace myrtlecroft::store
