// The byte format of one record. These functions do no I/O and may be called on any thread.
//
// All numbers are little-endian. A record's checksum is seeded with its segment's salt and its offset, so
// that bytes that look like a record, such as a part of a value or remains of another file, are not parsed as
// one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"
#include "store/numbers.h"

namespace myrtlecroft::store {

constexpr std::uint32_t kFormatVersion = 1;  // of segments, hint files and the manifest
constexpr std::size_t kRecordHeaderBytes = 24;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxValueBytes = std::size_t{16} << 20;

enum class RecordKind : std::uint8_t { kValue = 1, kErased = 2 };  // values on disk; kErased: a tombstone

// One version of a key's value, or a tombstone.
struct Record {
  RecordKind kind = RecordKind::kValue;
  std::uint64_t sequence = 0;  // the record of a key with the highest sequence is current
  Nanos written_at = 0;        // store time
  Nanos window = 0;            // the record expires this long after `written_at`; 0: never
  std::string key;
  std::string value;

  bool expired(Nanos now) const { return window > 0 && now - written_at >= window; }
};

// The position of a record on disk. Both numbers seed its checksum.
struct RecordPosition {
  std::uint64_t segment_salt = 0;
  std::uint64_t offset = 0;  // of its first byte in the segment
};

// Appends the encoded record to `out`. The caller must write it at `position`, which seeds the checksum.
void append_record(std::string& out, const Record& record, const RecordPosition& position);

enum class ParseStatus {
  kRecord,
  kIncomplete,  // the bytes may be the beginning of a record
  kNoRecord     // the bytes don't begin with a valid record
};

struct ParsedRecord {
  ParseStatus status = ParseStatus::kNoRecord;
  Record record{};       // set for kRecord
  std::size_t size = 0;  // set for kRecord: its encoded size in bytes
};

// Parses the record at the start of `bytes`, which were read from `position`.
ParsedRecord parse_record(std::string_view bytes, const RecordPosition& position);

// Returns the 64-bit XXH3 hash of the bytes.
std::uint64_t checksum(std::string_view bytes, std::uint64_t seed);

}  // namespace myrtlecroft::store
