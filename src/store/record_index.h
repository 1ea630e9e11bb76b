// The store's index in memory: where the current record of each key lies, and when it expires. Owned by Store
// and used on its thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/record.h"

namespace myrtlecroft::store {

// What the store knows of one live segment file.
struct SegmentState {
  std::uint64_t salt = 0;
  std::uint64_t bytes = 0;
  std::uint64_t live_bytes = 0;  // of records that the index points to
  bool sealed = false;           // nothing is appended any more
};
using SegmentTable = std::map<std::uint64_t, SegmentState>;

// Where one record lies, with what the index needs of it.
struct RecordLocation {
  RecordKind kind = RecordKind::kValue;
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;
  std::uint32_t bytes = 0;
  std::uint64_t sequence = 0;
  Nanos written_at = 0;
  Nanos window = 0;  // 0: never expires
};

class RecordIndex {
 public:
  // Keeps `live_bytes` of the segments up to date. They must outlive the index.
  explicit RecordIndex(SegmentTable& segments) : segments_(segments) {}

  // Points the key to this record, unless the index has one of a higher sequence.
  void apply(const std::string& key, const RecordLocation& location);
  void remove_expired(Nanos now);

  // The current record, which may be an erasure or expired; null: none.
  const RecordLocation* find(const std::string& key) const;
  // Whether the key has a value that has not expired.
  bool contains(const std::string& key, Nanos now) const;
  // Whether the key's current record is the one at this place.
  bool is_current(const std::string& key, std::uint64_t segment, std::uint64_t offset) const;
  // The keys that contains() holds for, by segment and offset. They are valid until the next change.
  std::vector<const std::string*> keys_in_disk_order(Nanos now) const;

  struct Latest {
    std::uint64_t sequence = 0;
    Nanos written_at = 0;
  };
  // The highest sequence and time of all records; zeros: the index is empty.
  Latest latest() const;
  // Keys, erased ones included until their erasure expires.
  std::size_t size() const { return entries_.size(); }

 private:
  using Expiries = std::multimap<Nanos, const std::string*>;  // the keys by the time they expire
  struct Entry {
    RecordLocation location;
    Expiries::iterator expiry{};  // where the location has a window
  };
  using Entries = std::unordered_map<std::string, Entry>;
  // Takes the record that the entry points to out of the accounts.
  void detach(const Entry& entry);

  SegmentTable& segments_;
  Entries entries_;
  Expiries expiries_;
};

}  // namespace myrtlecroft::store
