#include "report/load_report.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace myrtlecroft::report {
namespace {

constexpr std::uint8_t kReport = 1;
constexpr std::uint8_t kOrder = 2;
constexpr int kMaxDigits = 3;
constexpr std::uint8_t kStay = 255;  // of an order: no other version is wanted
constexpr std::size_t kHeader = 4;   // the length
constexpr std::size_t kLongestText = 64;
constexpr double kLargestLimit = 1e9;

enum Flag : std::uint8_t { kCold = 1, kLeaving = 2, kEngineUp = 4, kObeys = 8 };

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
    text = text.substr(0, kLongestText);
    put(static_cast<std::uint8_t>(text.size()));
    out_ += text;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// Reads past the end as zero, and remembers that it did.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  template <class Unsigned>
  Unsigned get() {
    if (bytes_.size() < sizeof(Unsigned)) {
      good_ = false;
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
    if (size > kLongestText || size > bytes_.size()) {
      good_ = false;
      return {};
    }
    std::string out(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return out;
  }
  bool good() const { return good_; }
  bool empty() const { return bytes_.empty(); }
  void fail() { good_ = false; }

 private:
  std::string_view bytes_;
  bool good_ = true;
};

bool read_body(Reader& in, LoadReport& out) {
  out.node = in.get_text();
  out.address = in.get_text();
  out.incarnation = in.get<std::uint64_t>();
  out.sequence = in.get<std::uint64_t>();
  out.sent_unix = std::bit_cast<std::int64_t>(in.get<std::uint64_t>());
  auto mode = in.get<std::uint8_t>();
  if (mode > static_cast<std::uint8_t>(Mode::kDraining)) in.fail();
  out.mode = static_cast<Mode>(mode);
  auto flags = in.get<std::uint8_t>();
  out.warming_up = flags & kCold;
  out.draining = flags & kLeaving;
  out.engine_up = flags & kEngineUp;
  out.accepts_assignments = flags & kObeys;
  out.window = in.get<std::uint32_t>();
  out.limit = in.get_double();
  out.queued_requests = in.get<std::uint32_t>();
  out.running = in.get<std::uint32_t>();
  out.core_time = in.get<std::uint64_t>();
  auto request_classes = in.get<std::uint16_t>();
  if (request_classes > kMaxRequestClasses || !std::isfinite(out.limit) || out.limit < 0 ||
      out.limit > kLargestLimit)
    in.fail();
  for (std::uint16_t i = 0; in.good() && i < request_classes; ++i) {
    RequestClassCounts counts;
    counts.request_class = in.get_text();
    counts.read = in.get<std::uint64_t>();
    counts.rejected = in.get<std::uint64_t>();
    counts.completed = in.get<std::uint64_t>();
    counts.in_time = in.get<std::uint64_t>();
    counts.terminated = in.get<std::uint64_t>();
    out.request_classes.push_back(std::move(counts));
  }
  // An older server ends here.
  if (!in.empty()) {
    out.epoch.term = in.get<std::uint64_t>();
    out.epoch.number = in.get<std::uint64_t>();
  }
  if (!in.empty()) out.version = in.get<std::uint8_t>();
  return in.good() && !out.node.empty();
}

bool read_body(Reader& in, fencing::ShardAssignment& out) {
  out.epoch.term = in.get<std::uint64_t>();
  out.epoch.number = in.get<std::uint64_t>();
  out.incarnation = in.get<std::uint64_t>();
  out.shard_digits = in.get<std::uint8_t>();
  auto shards = in.get<std::uint16_t>();
  if (out.shard_digits < 1 || out.shard_digits > kMaxDigits || shards > 1u << (4 * out.shard_digits))
    in.fail();
  for (std::uint16_t i = 0; in.good() && i < shards; ++i) out.shards.push_back(in.get<std::uint16_t>());
  // An older instance ends here.
  if (!in.empty()) {
    out.report_sequence = in.get<std::uint64_t>();
    auto restart = in.get<std::uint8_t>();
    if (restart <= fencing::kMaxVersion) out.restart_version = restart;
  }
  return in.good();
}

std::string framed(Writer body) {
  std::string bytes = body.take();
  Writer header;
  header.put(static_cast<std::uint32_t>(bytes.size()));
  return header.take() + bytes;
}

template <class Body>
bool read_and_tell(Reader& in, const std::function<void(Body)>& came) {
  if (!came) return true;
  Body body;
  if (!read_body(in, body)) return false;
  came(std::move(body));
  return true;
}

}  // namespace

std::string encode(const fencing::ShardAssignment& order) {
  Writer body;
  body.put(kFormatVersion);
  body.put(kOrder);
  body.put(order.epoch.term);
  body.put(order.epoch.number);
  body.put(order.incarnation);
  body.put(static_cast<std::uint8_t>(order.shard_digits));
  body.put(static_cast<std::uint16_t>(order.shards.size()));
  for (std::uint16_t shard : order.shards) body.put(shard);
  body.put(order.report_sequence);
  body.put(order.restart_version.value_or(kStay));
  return framed(std::move(body));
}

std::string encode(const LoadReport& report) {
  Writer body;
  body.put(kFormatVersion);
  body.put(kReport);
  body.put_text(report.node);
  body.put_text(report.address);
  body.put(report.incarnation);
  body.put(report.sequence);
  body.put(std::bit_cast<std::uint64_t>(report.sent_unix));
  body.put(static_cast<std::uint8_t>(report.mode));
  body.put(static_cast<std::uint8_t>((report.warming_up ? kCold : 0) | (report.draining ? kLeaving : 0) |
                                     (report.engine_up ? kEngineUp : 0) |
                                     (report.accepts_assignments ? kObeys : 0)));
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
  return framed(std::move(body));
}

const char* name_of(FrameError what) {
  constexpr const char* kNames[] = {"none", "frame too large", "version unknown", "body makes no sense"};
  return kNames[static_cast<std::size_t>(what)];
}

std::size_t decode(std::string_view bytes, const FrameHandlers& came, FrameError& malformed) {
  std::size_t taken = 0;
  malformed = FrameError::kNone;
  while (bytes.size() - taken >= kHeader) {
    std::size_t size = Reader(bytes.substr(taken)).get<std::uint32_t>();
    if (size > kLargestFrame || size < 2)
      malformed = size < 2 ? FrameError::kInvalidBody : FrameError::kTooLarge;
    if (malformed != FrameError::kNone || bytes.size() - taken - kHeader < size) break;
    Reader in(bytes.substr(taken + kHeader, size));
    taken += kHeader + size;
    if (in.get<std::uint8_t>() != kFormatVersion) {
      malformed = FrameError::kUnsupportedVersion;
      break;
    }
    auto kind = in.get<std::uint8_t>();
    bool sense = kind == kReport  ? read_and_tell(in, came.report)
                 : kind == kOrder ? read_and_tell(in, came.order)
                                  : true;
    if (!sense) {
      malformed = FrameError::kInvalidBody;
      break;
    }
  }
  return taken;
}

}  // namespace myrtlecroft::report
