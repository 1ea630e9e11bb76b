#include "report/load_report.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace myrtlecroft::report {
namespace {

constexpr std::uint8_t kReportKind = 1;
constexpr std::uint8_t kAssignmentKind = 2;
constexpr int kMaxDigits = 3;                    // hexadecimal digits of a shard number
constexpr std::uint8_t kNoRestartVersion = 255;  // in a shard assignment: no restart requested
constexpr std::size_t kHeaderSize = 4;           // bytes of the length field
constexpr std::size_t kMaxTextSize = 64;         // bytes
constexpr double kMaxLimit = 1e9;                // of LoadReport::limit

enum Flag : std::uint8_t {
  kWarmingUpFlag = 1,
  kDrainingFlag = 2,
  kEngineUpFlag = 4,
  kAcceptsAssignmentsFlag = 8
};

// Appends values to a frame body in big-endian order.
class Writer {
 public:
  template <class Unsigned>
  void put(Unsigned value) {
    for (int shift = 8 * (static_cast<int>(sizeof value) - 1); shift >= 0; shift -= 8) {
      out_ += static_cast<char>((static_cast<std::uint64_t>(value) >> shift) & 0xff);
    }
  }
  void put(double value) { put(std::bit_cast<std::uint64_t>(value)); }
  void put_text(std::string_view text) {
    text = text.substr(0, kMaxTextSize);
    put(static_cast<std::uint8_t>(text.size()));
    out_ += text;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// Reads values from a frame body. Reads past the end return zero and make valid() false.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  template <class Unsigned>
  Unsigned get() {
    if (bytes_.size() < sizeof(Unsigned)) {
      valid_ = false;
      bytes_ = {};
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Unsigned); ++i)
      value = value << 8 | static_cast<std::uint8_t>(bytes_[i]);
    bytes_.remove_prefix(sizeof(Unsigned));
    return static_cast<Unsigned>(value);
  }
  double get_double() { return std::bit_cast<double>(get<std::uint64_t>()); }
  std::string get_text() {
    auto size = get<std::uint8_t>();
    if (size > kMaxTextSize || size > bytes_.size()) {
      valid_ = false;
      return {};
    }
    std::string out(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return out;
  }
  bool valid() const { return valid_; }
  bool empty() const { return bytes_.empty(); }
  void fail() { valid_ = false; }

 private:
  std::string_view bytes_;
  bool valid_ = true;
};

bool read_body(Reader& reader, LoadReport& out) {
  out.node = reader.get_text();
  out.address = reader.get_text();
  out.incarnation = reader.get<std::uint64_t>();
  out.sequence = reader.get<std::uint64_t>();
  out.sent_unix = std::bit_cast<std::int64_t>(reader.get<std::uint64_t>());
  auto mode = reader.get<std::uint8_t>();
  if (mode > static_cast<std::uint8_t>(Mode::kDraining)) reader.fail();
  out.mode = static_cast<Mode>(mode);
  auto flags = reader.get<std::uint8_t>();
  out.warming_up = flags & kWarmingUpFlag;
  out.draining = flags & kDrainingFlag;
  out.engine_up = flags & kEngineUpFlag;
  out.accepts_assignments = flags & kAcceptsAssignmentsFlag;
  out.window = reader.get<std::uint32_t>();
  out.limit = reader.get_double();
  out.queued_requests = reader.get<std::uint32_t>();
  out.running = reader.get<std::uint32_t>();
  out.core_time = reader.get<std::uint64_t>();
  auto request_classes = reader.get<std::uint16_t>();
  if (request_classes > kMaxRequestClasses || !std::isfinite(out.limit) || out.limit < 0 ||
      out.limit > kMaxLimit)
    reader.fail();
  for (std::uint16_t i = 0; reader.valid() && i < request_classes; ++i) {
    RequestClassCounts counts;
    counts.request_class = reader.get_text();
    counts.read = reader.get<std::uint64_t>();
    counts.rejected = reader.get<std::uint64_t>();
    counts.completed = reader.get<std::uint64_t>();
    counts.in_time = reader.get<std::uint64_t>();
    counts.terminated = reader.get<std::uint64_t>();
    out.request_classes.push_back(std::move(counts));
  }
  // Reports of older servers end before the epoch.
  if (!reader.empty()) {
    out.epoch.term = reader.get<std::uint64_t>();
    out.epoch.number = reader.get<std::uint64_t>();
  }
  if (!reader.empty()) out.version = reader.get<std::uint8_t>();
  return reader.valid() && !out.node.empty();
}

bool read_body(Reader& reader, fencing::ShardAssignment& out) {
  out.epoch.term = reader.get<std::uint64_t>();
  out.epoch.number = reader.get<std::uint64_t>();
  out.incarnation = reader.get<std::uint64_t>();
  out.shard_digits = reader.get<std::uint8_t>();
  auto shards = reader.get<std::uint16_t>();
  if (out.shard_digits < 1 || out.shard_digits > kMaxDigits || shards > 1u << (4 * out.shard_digits))
    reader.fail();
  for (std::uint16_t i = 0; reader.valid() && i < shards; ++i)
    out.shards.push_back(reader.get<std::uint16_t>());
  // Assignments of older control services end before the report sequence.
  if (!reader.empty()) {
    out.report_sequence = reader.get<std::uint64_t>();
    auto restart_version_number = reader.get<std::uint8_t>();
    if (restart_version_number <= fencing::kMaxVersion) out.restart_version = restart_version_number;
  }
  return reader.valid();
}

std::string add_length_prefix(Writer body) {
  std::string bytes = body.take();
  Writer header;
  header.put(static_cast<std::uint32_t>(bytes.size()));
  return header.take() + bytes;
}

template <class Body>
bool read_and_deliver(Reader& reader, const std::function<void(Body)>& deliver) {
  if (!deliver) return true;
  Body body;
  if (!read_body(reader, body)) return false;
  deliver(std::move(body));
  return true;
}

}  // namespace

std::string encode(const fencing::ShardAssignment& assignment) {
  Writer body;
  body.put(kFormatVersion);
  body.put(kAssignmentKind);
  body.put(assignment.epoch.term);
  body.put(assignment.epoch.number);
  body.put(assignment.incarnation);
  body.put(static_cast<std::uint8_t>(assignment.shard_digits));
  body.put(static_cast<std::uint16_t>(assignment.shards.size()));
  for (std::uint16_t shard : assignment.shards) body.put(shard);
  body.put(assignment.report_sequence);
  body.put(assignment.restart_version.value_or(kNoRestartVersion));
  return add_length_prefix(std::move(body));
}

std::string encode(const LoadReport& report) {
  Writer body;
  body.put(kFormatVersion);
  body.put(kReportKind);
  body.put_text(report.node);
  body.put_text(report.address);
  body.put(report.incarnation);
  body.put(report.sequence);
  body.put(std::bit_cast<std::uint64_t>(report.sent_unix));
  body.put(static_cast<std::uint8_t>(report.mode));
  body.put(static_cast<std::uint8_t>(
      (report.warming_up ? kWarmingUpFlag : 0) | (report.draining ? kDrainingFlag : 0) |
      (report.engine_up ? kEngineUpFlag : 0) | (report.accepts_assignments ? kAcceptsAssignmentsFlag : 0)));
  body.put(report.window);
  body.put(report.limit);
  body.put(report.queued_requests);
  body.put(report.running);
  body.put(report.core_time);
  std::size_t request_classes = std::min(report.request_classes.size(), kMaxRequestClasses);
  body.put(static_cast<std::uint16_t>(request_classes));
  for (std::size_t i = 0; i < request_classes; ++i) {
    const RequestClassCounts& counts = report.request_classes[i];
    body.put_text(counts.request_class);
    body.put(counts.read);
    body.put(counts.rejected);
    body.put(counts.completed);
    body.put(counts.in_time);
    body.put(counts.terminated);
  }
  body.put(report.epoch.term);
  body.put(report.epoch.number);
  body.put(report.version);
  return add_length_prefix(std::move(body));
}

const char* name_of(FrameError error) {
  constexpr const char* kNames[] = {"none", "frame too large", "version unknown", "malformed body"};
  return kNames[static_cast<std::size_t>(error)];
}

std::size_t decode(std::string_view bytes, const FrameHandlers& handlers, FrameError& malformed) {
  std::size_t consumed = 0;
  malformed = FrameError::kNone;
  while (bytes.size() - consumed >= kHeaderSize) {
    std::size_t size = Reader(bytes.substr(consumed)).get<std::uint32_t>();
    if (size > kMaxFrameSize || size < 2)
      malformed = size < 2 ? FrameError::kInvalidBody : FrameError::kTooLarge;
    if (malformed != FrameError::kNone || bytes.size() - consumed - kHeaderSize < size) break;
    Reader reader(bytes.substr(consumed + kHeaderSize, size));
    consumed += kHeaderSize + size;
    if (reader.get<std::uint8_t>() != kFormatVersion) {
      malformed = FrameError::kUnsupportedVersion;
      break;
    }
    auto kind = reader.get<std::uint8_t>();
    bool body_valid = kind == kReportKind       ? read_and_deliver(reader, handlers.report)
                      : kind == kAssignmentKind ? read_and_deliver(reader, handlers.assignment)
                                                : true;
    if (!body_valid) {
      malformed = FrameError::kInvalidBody;
      break;
    }
  }
  return consumed;
}

}  // namespace myrtlecroft::report
