// Records, and the heads of the files that hold them, as bytes. No I/O.
//
// All numbers are little-endian. A record's checksum hangs on the segment's salt and the record's place in
// it, so that bytes which look like a record, in a value or left over from another file, are none.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"
#include "store/numbers.h"

namespace myrtlecroft::store {

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kSegmentHead = 32;
constexpr std::size_t kRecordHead = 24;
constexpr std::size_t kLongestKey = 512;
constexpr std::size_t kLongestValue = std::size_t{16} << 20;

enum class Kind : std::uint8_t { kValue = 1, kDropped = 2 };

struct Record {
  Kind kind = Kind::kValue;
  std::uint64_t sequence = 0;
  Nanos at = 0;      // of the store's own time
  Nanos window = 0;  // it may be forgotten so long after `at`; 0: never
  std::string key;
  std::string value;

  bool over(Nanos now) const { return window > 0 && now - at >= window; }
};

struct SegmentHead {
  std::uint32_t version = kFormatVersion;
  std::uint64_t number = 0;
  std::uint64_t salt = 0;
};

std::string write_head(const SegmentHead& head);
// None: not a segment, or cut off. The version may be one that can't be read.
std::optional<SegmentHead> read_head(std::string_view bytes);

void append_record(std::string& out, const Record& record, std::uint64_t salt, std::uint64_t offset);

enum class Found {
  kRecord,
  kCut,   // may go on beyond these bytes
  kNone,  // no record begins here
};
// The record at the front of `bytes`, which are at `offset` of their segment. `size` is what it takes.
Found read_record(std::string_view bytes, std::uint64_t salt, std::uint64_t offset, Record& out,
                  std::size_t& size);

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed);

}  // namespace myrtlecroft::store
