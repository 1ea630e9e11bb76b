// Segment files: their names, their header, and a scan over their records. Called by the store's thread and
// by the inspector.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "store/disk.h"
#include "store/record.h"

namespace myrtlecroft::store {

constexpr std::size_t kSegmentHeaderBytes = 32;

struct SegmentHeader {
  std::uint32_t version = kFormatVersion;
  std::uint64_t number = 0;
  std::uint64_t salt = 0;
};

std::string write_header(const SegmentHeader& header);
// None: these bytes are not a segment's, or are cut off. The version may be one that this build can't read.
std::optional<SegmentHeader> read_header(std::string_view bytes);

std::string segment_name(std::uint64_t number);
std::string hint_name(std::uint64_t number);
// The number in a segment file's name; none: it is not a segment file.
std::optional<std::uint64_t> segment_number(std::string_view name);
// The number in a hint file's name; none: it is not a hint file.
std::optional<std::uint64_t> hint_number(std::string_view name);

struct ScannedRecord {
  Record record;
  std::uint64_t offset = 0;  // in the segment
  std::size_t size = 0;      // bytes

  std::uint64_t end() const { return offset + size; }
};

enum class ScanStep { kContinue, kStop };
using RecordVisitor = std::function<ScanStep(const ScannedRecord& scanned)>;

// Which part of which segment to scan.
struct SegmentRange {
  std::uint64_t segment = 0;
  std::uint64_t salt = 0;
  std::uint64_t from = kSegmentHeaderBytes;  // offset
};

// Visits the valid records of the segment in order and returns how many bytes were skipped between or after
// them. Throws DiskError.
std::uint64_t scan_segment(Disk& disk, const SegmentRange& range, const RecordVisitor& visit);

// Thrown where a file was written in a format newer than kFormatVersion.
[[noreturn]] void throw_newer_format(const std::string& file, std::uint32_t version);

}  // namespace myrtlecroft::store
