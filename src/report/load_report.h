// Encodes and decodes the frames of load reports, which a server sends several times a second, and of shard
// assignments (docs/design/server-reports.md). Performs no I/O.
//
// A frame consists of the length of the rest (4 bytes), version (1), kind (1) and body. Numbers are
// big-endian. A reader skips unknown kinds and trailing bytes of known kinds, so that the sender may be a
// newer version.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fencing/fencing_guard.h"
#include "myrtlecroft/controller.h"

namespace myrtlecroft::report {

constexpr std::uint8_t kFormatVersion = 1;
constexpr std::size_t kMaxFrameSize = std::size_t{16} * 1024;  // bytes after the length field
constexpr std::size_t kMaxRequestClasses = 200;                // per report; encode drops the rest

// Counters of one request class since the start of this incarnation of the server.
struct RequestClassCounts {
  std::string request_class;
  std::uint64_t read = 0;
  std::uint64_t rejected = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_time = 0;  // completed within the latency objective
  std::uint64_t terminated = 0;

  bool operator==(const RequestClassCounts&) const = default;
};

// Load and state of one server at one moment.
struct LoadReport {
  std::string node;
  std::string address;            // on which the server listens
  std::uint64_t incarnation = 0;  // differs after each start; idempotency keys are valid within it
  std::uint64_t sequence = 0;     // of this report within the incarnation
  std::int64_t sent_unix = 0;     // Unix time in ns by the server's clock
  Mode mode = Mode::kServing;
  bool warming_up = false;
  bool draining = false;
  bool engine_up = false;
  bool accepts_assignments = false;  // the server takes shard assignments on this connection
  fencing::Epoch epoch;              // of the shard assignment in force; zeros: none yet
  std::uint8_t version = 0;          // that the server was started with, as told by its starter
  std::uint32_t window = 0;          // of admission, in positions
  double limit = 0;                  // of requests running at a time
  std::uint32_t queued_requests = 0;
  std::uint32_t running = 0;
  std::uint64_t core_time = 0;  // CPU time of all work so far, in ns
  std::vector<RequestClassCounts> request_classes;

  bool operator==(const LoadReport&) const = default;
};

// Returns one complete frame. Texts longer than 64 bytes are truncated.
std::string encode(const LoadReport& report);
std::string encode(const fencing::ShardAssignment& assignment);

enum class FrameError { kNone, kTooLarge, kUnsupportedVersion, kInvalidBody };
// Short description for log lines.
const char* name_of(FrameError error);

// Callbacks by kind of frame. Frames of a kind without a callback are skipped.
struct FrameHandlers {
  std::function<void(LoadReport)> report;
  std::function<void(fencing::ShardAssignment)> assignment;
};

// Decodes the complete frames at the start of `bytes`, calls the handler of each and returns the number of
// bytes consumed. A malformed frame stops decoding and sets `malformed` (kNone otherwise); the caller should
// then close the stream.
std::size_t decode(std::string_view bytes, const FrameHandlers& handlers, FrameError& malformed);
inline std::size_t decode(std::string_view bytes, std::function<void(LoadReport)> on_report,
                          FrameError& malformed) {
  return decode(bytes, FrameHandlers{.report = std::move(on_report), .assignment = {}}, malformed);
}

}  // namespace myrtlecroft::report
