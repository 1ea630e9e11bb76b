// The store's in-memory index: the location and expiry of each key's current record. Owned by Store and used
// on the store's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/record.h"

namespace myrtlecroft::store {

// The state of one live segment file.
struct SegmentState {
  std::uint64_t salt = 0;
  std::uint64_t bytes = 0;
  std::uint64_t live_bytes = 0;  // total size of the records that the index points to
  bool sealed = false;           // no record is appended any more
};
// Live segments by number.
using SegmentTable = std::map<std::uint64_t, SegmentState>;

// The location of one record and the fields that the index needs to order and expire it.
struct RecordLocation {
  RecordKind kind = RecordKind::kValue;
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;
  std::uint32_t bytes = 0;
  std::uint64_t sequence = 0;
  Nanos written_at = 0;
  Nanos window = 0;  // 0: never expires
};

// Maps each key to its current record.
class RecordIndex {
 public:
  // The index keeps SegmentState::live_bytes up to date in `segments`, which must outlive the index.
  explicit RecordIndex(SegmentTable& segments) : segments_(segments) {}

  // Makes the record the current one of its key, unless the index has a record with a higher sequence.
  void apply(const std::string& key, const RecordLocation& location);
  // Removes the keys whose current record has expired.
  void remove_expired(Nanos now);

  // Returns the location of the key's current record, which may be a tombstone or expired; null if there is
  // none. The pointer is valid until the next change.
  const RecordLocation* find(const std::string& key) const;
  // Whether the key has a value that has not expired.
  bool contains(const std::string& key, Nanos now) const;
  // Whether the key's current record is the one at this offset of this segment.
  bool is_current(const std::string& key, std::uint64_t segment, std::uint64_t offset) const;
  // Returns the keys for which contains() is true, sorted by segment and offset. The pointers are valid until
  // the next change.
  std::vector<const std::string*> keys_in_disk_order(Nanos now) const;

  struct Latest {
    std::uint64_t sequence = 0;
    Nanos written_at = 0;
  };
  // Returns the highest sequence and the latest write time of all indexed records; zeros if the index is
  // empty.
  Latest latest() const;
  // Returns the number of keys, including erased keys until their tombstone expires.
  std::size_t size() const { return entries_.size(); }

 private:
  using Expiries = std::multimap<Nanos, const std::string*>;  // keys by expiry time
  struct Entry {
    RecordLocation location;
    Expiries::iterator expiry{};  // valid only if the location has a window
  };
  using Entries = std::unordered_map<std::string, Entry>;
  // Subtracts the entry's record from the live bytes of its segment and removes its expiry.
  void detach(const Entry& entry);

  SegmentTable& segments_;
  Entries entries_;
  Expiries expiries_;
};

}  // namespace myrtlecroft::store
