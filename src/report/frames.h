// What a node says of itself, several times a second, as frames (docs/design/node-reports.md). No I/O.
//
// A frame is: length of what follows (4 bytes), version (1), kind (1), body. Numbers are big-endian. A reader
// passes over kinds it does not know and over bytes behind those it knows, so that a node may be newer.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fencing/fence.h"
#include "myrtlecroft/controller.h"

namespace myrtlecroft::report {

constexpr std::uint8_t kFormatVersion = 1;
constexpr std::size_t kLargestFrame = std::size_t{16} * 1024;  // bytes behind the length
constexpr std::size_t kMostGroups = 200;

// Counted since the start of this life of the node.
struct GroupCounts {
  std::string group;
  std::uint64_t read = 0;
  std::uint64_t denied = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_time = 0;  // completed within the SLO time
  std::uint64_t terminated = 0;

  bool operator==(const GroupCounts&) const = default;
};

struct NodeReport {
  std::string node;
  std::string address;         // where it listens
  std::uint64_t life = 0;      // another one after each start; keys live as long as it
  std::uint64_t sequence = 0;  // of this report in its life
  std::int64_t sent_unix = 0;  // ns by the node's clock
  Mode mode = Mode::kServing;
  bool cold = false;
  bool leaving = false;
  bool engine_up = false;
  bool obeys = false;        // it takes orders on this connection
  fencing::Epoch epoch;      // of the order that it acts on; none yet: zeros
  std::uint8_t version = 0;  // that it was started in, by who started it
  std::uint32_t window = 0;  // positions
  double limit = 0;          // running exchanges
  std::uint32_t held = 0;
  std::uint32_t running = 0;
  std::uint64_t core_time = 0;  // ns, of all work so far
  std::vector<GroupCounts> groups;

  bool operator==(const NodeReport&) const = default;
};

std::string encode(const NodeReport& report);
std::string encode(const fencing::Order& order);

enum class Malformed { kNo, kTooLarge, kVersion, kBody };
const char* name_of(Malformed what);

// What a frame may be. One that nobody asked for is passed over.
struct Came {
  std::function<void(NodeReport)> report;
  std::function<void(fencing::Order)> order;
};

// Takes the whole frames at the front of the bytes, hands over each report, and says how many bytes they
// were. What makes no sense sets `malformed`, and the stream should end.
std::size_t decode(std::string_view bytes, const Came& came, Malformed& malformed);
inline std::size_t decode(std::string_view bytes, std::function<void(NodeReport)> came,
                          Malformed& malformed) {
  return decode(bytes, Came{.report = std::move(came), .order = {}}, malformed);
}

}  // namespace myrtlecroft::report
