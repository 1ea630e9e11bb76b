#include "store/segment.h"

#include <cstdio>

#include "store/store_error.h"

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kSegmentMagic = "MYRTLSEG";
constexpr std::size_t kNumberDigits = 12;
constexpr std::size_t kReadBytes = std::size_t{1} << 20;  // bytes per read of a scan

// Formats the number with leading zeros to kNumberDigits digits.
std::string zero_padded(std::uint64_t number) {
  char digits[32];
  std::snprintf(digits, sizeof digits, "%012llu", static_cast<unsigned long long>(number));
  return digits;
}

// Returns the number in a file name with this extension, or nothing if the name has another form.
std::optional<std::uint64_t> parse_number(std::string_view name, std::string_view extension) {
  if (name.size() != kNumberDigits + extension.size() || !name.ends_with(extension)) return std::nullopt;
  std::uint64_t number = 0;
  for (char digit : name.substr(0, kNumberDigits)) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}

// Buffers the part of a segment that a scan is parsing.
class ScanBuffer {
 public:
  ScanBuffer(Disk& disk, const SegmentRange& range)
      : disk_(disk), name_(segment_name(range.segment)), offset_(range.from) {}

  std::string_view unparsed() const { return std::string_view(bytes_).substr(next_); }
  std::uint64_t offset() const { return offset_ + next_; }
  void advance(std::size_t bytes) { next_ += bytes; }
  bool reached_end_of_file() const { return end_of_file_; }

  void read_more() {
    bytes_.erase(0, next_);
    offset_ += next_;
    next_ = 0;
    std::string more = disk_.read(name_, offset_ + bytes_.size(), kReadBytes + bytes_.size());
    end_of_file_ = more.empty();
    bytes_ += more;
  }

 private:
  Disk& disk_;
  std::string name_;
  std::uint64_t offset_;  // of the first byte of bytes_
  std::string bytes_;
  std::size_t next_ = 0;  // index in bytes_ of the next byte to parse
  bool end_of_file_ = false;
};

}  // namespace

std::string serialize_header(const SegmentHeader& header) {
  std::string out(kSegmentMagic);
  put_number(out, header.version);
  put_number(out, std::uint32_t{0});
  put_number(out, header.number);
  put_number(out, header.salt);
  return out;
}

std::optional<SegmentHeader> parse_header(std::string_view bytes) {
  if (bytes.size() < kSegmentHeaderBytes || !bytes.starts_with(kSegmentMagic)) return std::nullopt;
  return SegmentHeader{.version = get_number<std::uint32_t>(bytes.substr(8)),
                       .number = get_number<std::uint64_t>(bytes.substr(16)),
                       .salt = get_number<std::uint64_t>(bytes.substr(24))};
}

std::string segment_name(std::uint64_t number) { return zero_padded(number) + ".seg"; }

std::string hint_name(std::uint64_t number) { return zero_padded(number) + ".hint"; }

std::optional<std::uint64_t> segment_number(std::string_view name) { return parse_number(name, ".seg"); }

std::optional<std::uint64_t> hint_number(std::string_view name) { return parse_number(name, ".hint"); }

std::uint64_t scan_segment(Disk& disk, const SegmentRange& range, const RecordVisitor& visit) {
  ScanBuffer buffer(disk, range);
  std::uint64_t skipped = 0;
  for (;;) {
    ParsedRecord parsed =
        parse_record(buffer.unparsed(), {.segment_salt = range.salt, .offset = buffer.offset()});
    if (parsed.status == ParseStatus::kRecord) {
      ScannedRecord scanned{
          .record = std::move(parsed.record), .offset = buffer.offset(), .size = parsed.size};
      if (visit(scanned) == ScanStep::kStop) return skipped;
      buffer.advance(parsed.size);
    } else if (parsed.status == ParseStatus::kIncomplete && !buffer.reached_end_of_file()) {
      buffer.read_more();
    } else if (!buffer.unparsed().empty()) {
      // Damaged bytes or a torn tail. Valid records may follow, so the scan tries the next offset.
      buffer.advance(1);
      ++skipped;
    } else {
      return skipped;
    }
  }
}

void throw_newer_format(const std::string& file, std::uint32_t version) {
  throw StoreError(StoreError::Problem::kNewerFormat, file,
                   "written in format " + std::to_string(version) + ", this build reads " +
                       std::to_string(kFormatVersion));
}

}  // namespace myrtlecroft::store
