// What a server says of itself, several times a second, as frames (docs/design/server-reports.md). No I/O.
//
// A frame is: length of what follows (4 bytes), version (1), kind (1), body. Numbers are big-endian. A reader
// passes over kinds it does not know and over bytes behind those it knows, so that a server may be newer.
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
constexpr std::size_t kLargestFrame = std::size_t{16} * 1024;  // bytes behind the length
constexpr std::size_t kMaxRequestClasses = 200;

// Counted since the start of this life of the server.
struct RequestClassCounts {
  std::string request_class;
  std::uint64_t read = 0;
  std::uint64_t rejected = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_time = 0;  // completed within the latency objective
  std::uint64_t terminated = 0;

  bool operator==(const RequestClassCounts&) const = default;
};

struct LoadReport {
  std::string node;
  std::string address;            // where it listens
  std::uint64_t incarnation = 0;  // another one after each start; keys live as long as it
  std::uint64_t sequence = 0;     // of this report in its life
  std::int64_t sent_unix = 0;     // ns by the server's clock
  Mode mode = Mode::kServing;
  bool warming_up = false;
  bool draining = false;
  bool engine_up = false;
  bool accepts_assignments = false;  // it takes orders on this connection
  fencing::Epoch epoch;              // of the order that it acts on; none yet: zeros
  std::uint8_t version = 0;          // that it was started in, by who started it
  std::uint32_t window = 0;          // positions
  double limit = 0;                  // running requests
  std::uint32_t queued_requests = 0;
  std::uint32_t running = 0;
  std::uint64_t core_time = 0;  // ns, of all work so far
  std::vector<RequestClassCounts> request_classes;

  bool operator==(const LoadReport&) const = default;
};

std::string encode(const LoadReport& report);
std::string encode(const fencing::ShardAssignment& order);

enum class FrameError { kNone, kTooLarge, kUnsupportedVersion, kInvalidBody };
const char* name_of(FrameError what);

// What a frame may be. One that nobody asked for is passed over.
struct FrameHandlers {
  std::function<void(LoadReport)> report;
  std::function<void(fencing::ShardAssignment)> order;
};

// Takes the whole frames at the front of the bytes, hands over each report, and says how many bytes they
// were. What makes no sense sets `malformed`, and the stream should end.
std::size_t decode(std::string_view bytes, const FrameHandlers& came, FrameError& malformed);
inline std::size_t decode(std::string_view bytes, std::function<void(LoadReport)> came,
                          FrameError& malformed) {
  return decode(bytes, FrameHandlers{.report = std::move(came), .order = {}}, malformed);
}

}  // namespace myrtlecroft::report
