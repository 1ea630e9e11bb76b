#include "store/segment.h"

#include <cstdio>

#include "store/store_error.h"

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kSegmentMagic = "MYRTLSEG";
constexpr std::size_t kNumberDigits = 12;
constexpr std::size_t kReadBytes = std::size_t{1} << 20;  // of one read of a scan

std::string digits_of(std::uint64_t number) {
  char digits[32];
  std::snprintf(digits, sizeof digits, "%012llu", static_cast<unsigned long long>(number));
  return digits;
}

std::optional<std::uint64_t> number_in(std::string_view name, std::string_view extension) {
  if (name.size() != kNumberDigits + extension.size() || !name.ends_with(extension)) return std::nullopt;
  std::uint64_t number = 0;
  for (char digit : name.substr(0, kNumberDigits)) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}

// A window of a segment's bytes that moves forward with the scan.
class ScanBuffer {
 public:
  ScanBuffer(Disk& disk, const SegmentRange& range)
      : disk_(disk), name_(segment_name(range.segment)), offset_(range.from) {}

  std::string_view rest() const { return std::string_view(bytes_).substr(at_); }
  std::uint64_t offset() const { return offset_ + at_; }
  void advance(std::size_t bytes) { at_ += bytes; }
  bool at_end_of_file() const { return end_of_file_; }

  void read_more() {
    bytes_.erase(0, at_);
    offset_ += at_;
    at_ = 0;
    std::string more = disk_.read(name_, offset_ + bytes_.size(), kReadBytes + bytes_.size());
    end_of_file_ = more.empty();
    bytes_ += more;
  }

 private:
  Disk& disk_;
  std::string name_;
  std::uint64_t offset_;  // of the first byte of bytes_
  std::string bytes_;
  std::size_t at_ = 0;  // the next byte to parse, in bytes_
  bool end_of_file_ = false;
};

}  // namespace

std::string write_header(const SegmentHeader& header) {
  std::string out(kSegmentMagic);
  put_number(out, header.version);
  put_number(out, std::uint32_t{0});
  put_number(out, header.number);
  put_number(out, header.salt);
  return out;
}

std::optional<SegmentHeader> read_header(std::string_view bytes) {
  if (bytes.size() < kSegmentHeaderBytes || !bytes.starts_with(kSegmentMagic)) return std::nullopt;
  return SegmentHeader{.version = get_number<std::uint32_t>(bytes.substr(8)),
                       .number = get_number<std::uint64_t>(bytes.substr(16)),
                       .salt = get_number<std::uint64_t>(bytes.substr(24))};
}

std::string segment_name(std::uint64_t number) { return digits_of(number) + ".seg"; }

std::string hint_name(std::uint64_t number) { return digits_of(number) + ".hint"; }

std::optional<std::uint64_t> segment_number(std::string_view name) { return number_in(name, ".seg"); }

std::optional<std::uint64_t> hint_number(std::string_view name) { return number_in(name, ".hint"); }

std::uint64_t scan_segment(Disk& disk, const SegmentRange& range, const RecordVisitor& visit) {
  ScanBuffer buffer(disk, range);
  std::uint64_t skipped = 0;
  for (;;) {
    ParsedRecord parsed = read_record(buffer.rest(), {.segment_salt = range.salt, .offset = buffer.offset()});
    if (parsed.status == ParseStatus::kRecord) {
      ScannedRecord scanned{
          .record = std::move(parsed.record), .offset = buffer.offset(), .size = parsed.size};
      if (visit(scanned) == ScanStep::kStop) return skipped;
      buffer.advance(parsed.size);
    } else if (parsed.status == ParseStatus::kIncomplete && !buffer.at_end_of_file()) {
      buffer.read_more();
    } else if (!buffer.rest().empty()) {
      // Damage, or a torn tail. Valid records may follow it.
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
