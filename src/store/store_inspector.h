// Read-only inspection of a store's folder, for myrtlecroft-store: counts its contents and finds damage.
// Doesn't lock the folder, so it may run while another process has the store open. Not thread-safe.
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

// The result of inspecting one segment file.
struct SegmentInspection {
  std::uint64_t number = 0;
  std::uint32_t version = 0;  // format version; 0: there is no header
  bool listed = true;         // live according to the manifest; false: left behind by a compaction
  bool header_valid = true;
  bool has_hints = false;  // a hint file exists
  std::uint64_t bytes = 0;
  std::uint64_t records = 0;
  std::uint64_t current_records = 0;  // records that are the current one of their key
  std::uint64_t erasures = 0;         // records that are tombstones
  std::uint64_t skipped_bytes = 0;    // not part of a valid record
  bool skipped_only_at_end = true;    // all skipped bytes follow the last record: a torn tail
};

// The result of inspecting a store's folder.
struct StoreInspection {
  Manifest manifest;
  std::vector<SegmentInspection> segments;
  std::uint64_t keys = 0;   // keys whose current record is a value, expired or not
  std::uint64_t bytes = 0;  // total size of the segment files
  Nanos store_time = 0;     // latest time in the manifest or in any record

  // Whether the manifest or a header is damaged, or bytes were skipped before a record. A torn tail is not
  // damage, because a crash can leave one.
  bool damaged() const;
};

// Inspects a store's folder when it is constructed.
class StoreInspector {
 public:
  // Reads every segment. Throws DiskError, and StoreError if the manifest has a newer format.
  explicit StoreInspector(Disk& disk);

  const StoreInspection& inspection() const { return inspection_; }
  // Visits the current record of every key whose value has not expired, with its segment, in the order of
  // their sequence. Throws DiskError.
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
  void update_current_record(const ScannedRecord& scanned, std::uint64_t segment);
  void count_current_records();

  Disk& disk_;
  StoreInspection inspection_;
  std::map<std::string, CurrentRecord> current_;  // by key
  std::map<std::uint64_t, std::uint64_t> salts_;  // by segment
};

}  // namespace myrtlecroft::store
