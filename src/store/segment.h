// Segment files: file names, header, and a scan of the records. The functions have no state of their own; a
// scan must run on the thread that uses the Disk.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "store/disk.h"
#include "store/record.h"

namespace myrtlecroft::store {

constexpr std::size_t kSegmentHeaderBytes = 32;

// The header at the start of every segment file.
struct SegmentHeader {
  std::uint32_t version = kFormatVersion;
  std::uint64_t number = 0;
  std::uint64_t salt = 0;  // random; seeds the checksums of the segment's records
};

// Returns the header's kSegmentHeaderBytes bytes.
std::string serialize_header(const SegmentHeader& header);
// Returns nothing if the bytes are not a segment header or are truncated. The version may be newer than this
// build supports.
std::optional<SegmentHeader> parse_header(std::string_view bytes);

// File names in the store's folder.
std::string segment_name(std::uint64_t number);
std::string hint_name(std::uint64_t number);
// Returns the number of the segment file with this name, or nothing if it is not a segment file's name.
std::optional<std::uint64_t> segment_number(std::string_view name);
// Returns the number of the segment whose hint file has this name, or nothing if it is not a hint file's
// name.
std::optional<std::uint64_t> hint_number(std::string_view name);

// A valid record found by scan_segment().
struct ScannedRecord {
  Record record;
  std::uint64_t offset = 0;  // in the segment
  std::size_t size = 0;      // bytes

  // Offset of the first byte after the record.
  std::uint64_t end() const { return offset + size; }
};

enum class ScanStep { kContinue, kStop };
using RecordVisitor = std::function<ScanStep(const ScannedRecord& scanned)>;

// The part of a segment to scan: from an offset to the end.
struct SegmentRange {
  std::uint64_t segment = 0;
  std::uint64_t salt = 0;
  std::uint64_t from = kSegmentHeaderBytes;  // offset of the first byte to scan
};

// Visits the valid records of the segment in file order until the end or until `visit` returns kStop. Returns
// the number of bytes that were skipped because they are not part of a valid record. Throws DiskError.
std::uint64_t scan_segment(Disk& disk, const SegmentRange& range, const RecordVisitor& visit);

// Throws StoreError with kNewerFormat. Called for a file whose format version is newer than kFormatVersion.
[[noreturn]] void throw_newer_format(const std::string& file, std::uint32_t version);

}  // namespace myrtlecroft::store
