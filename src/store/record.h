// The byte format of one record. No I/O; any thread.
//
// All numbers are little-endian. A record's checksum is seeded by its segment's salt and its offset, so that
// bytes that look like a record, within a value or left over from another file, are not read as one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"
#include "store/numbers.h"

namespace myrtlecroft::store {

constexpr std::uint32_t kFormatVersion = 1;  // of segments, hints and the manifest
constexpr std::size_t kRecordHeaderBytes = 24;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxValueBytes = std::size_t{16} << 20;

enum class RecordKind : std::uint8_t { kValue = 1, kErased = 2 };  // stored

// One version of a key's value, or its erasure.
struct Record {
  RecordKind kind = RecordKind::kValue;
  std::uint64_t sequence = 0;  // the highest of a key is its current version
  Nanos written_at = 0;        // store time
  Nanos window = 0;            // it expires this long after `written_at`; 0: never
  std::string key;
  std::string value;

  bool expired(Nanos now) const { return window > 0 && now - written_at >= window; }
};

// Where a record lies; both numbers seed its checksum.
struct RecordPosition {
  std::uint64_t segment_salt = 0;
  std::uint64_t offset = 0;  // of its first byte in the segment
};

// Appends the record's bytes, which the caller will write at `position`.
void append_record(std::string& out, const Record& record, const RecordPosition& position);

enum class ParseStatus {
  kRecord,
  kIncomplete,  // the bytes end within what may be a record
  kNoRecord     // no valid record begins here
};

struct ParsedRecord {
  ParseStatus status = ParseStatus::kNoRecord;
  Record record{};       // of kRecord
  std::size_t size = 0;  // of kRecord: the bytes it takes
};

// Reads the record at the front of `bytes`, which lie at `position`.
ParsedRecord read_record(std::string_view bytes, const RecordPosition& position);

// XXH3 of the bytes.
std::uint64_t checksum(std::string_view bytes, std::uint64_t seed);

}  // namespace myrtlecroft::store
