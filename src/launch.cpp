#include "launch.h"

#include <arpa/inet.h>

#include <charconv>
#include <stdexcept>

#include "net/address.h"
#include "service_config/error_location.h"
#include "service_config/service_config_reader.h"

namespace myrtlecroft {
namespace {

using namespace config;

constexpr std::int64_t kLongestStop = 86'400'000;  // ms
constexpr std::int64_t kUsualDescriptors = 1024;   // where no limit is told
constexpr std::int64_t kFewestDescriptors = 64;
constexpr std::size_t kResultShare = 4;  // one of so many parts of the memory, for results kept by key

sockaddr_in address(object fields, std::string_view name) {
  std::string given = text(fields, name);
  std::size_t colon = given.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  std::uint16_t port = 0;
  bool good = colon != std::string::npos;
  if (good) {
    const char* end = given.data() + given.size();
    auto [past, error] = std::from_chars(given.data() + colon + 1, end, port);
    good = error == std::errc() && past == end && port != 0;
  }
  good = good && inet_pton(AF_INET, given.substr(0, colon).c_str(), &out.sin_addr) == 1;
  if (!good) fail(fields, name, "is not an address: '" + given + "'");
  out.sin_port = htons(port);
  return out;
}

std::uint64_t seed_of(object fields) {
  std::string given = text(fields, "seed");
  std::uint64_t seed = 0;
  auto [past, error] = std::from_chars(given.data(), given.data() + given.size(), seed, 16);
  if (error != std::errc() || past != given.data() + given.size())
    fail(fields, "seed", "is not a hexadecimal number");
  return seed;
}

// FNV-1a. Two texts of one digest would be taken for the same, which only leaves out a line for the
// operators.
std::uint64_t digest(std::string_view text) {
  std::uint64_t out = 0xcbf29ce484222325;
  for (char byte : text) out = (out ^ static_cast<std::uint8_t>(byte)) * 0x100000001b3;
  return out;
}

void read_limits(object limits, Launch& launch) {
  std::int64_t descriptors = integer_or(limits, "sockets", kUsualDescriptors);
  if (descriptors < kFewestDescriptors) fail(limits, "sockets", "is too few");
  launch.descriptors = static_cast<std::size_t>(descriptors);
  double memory_mb = number(limits, "memory_mb");
  if (memory_mb <= 0) fail(limits, "memory_mb", "is not above 0");
  launch.memory = static_cast<std::size_t>(memory_mb * 1024 * 1024);
  launch.start.max_result_bytes = launch.memory / kResultShare;
  launch.limits = digest(simdjson::minify(limits));
}

// Throws FieldError.
Launch read_fields(object fields) {
  Launch launch;
  launch.name = text(fields, "name");
  launch.listen = address(fields, "listen");
  launch.engine = address(fields, "engine");
  launch.members = address(fields, "members");
  launch.start.seed = seed_of(fields);
  std::int64_t stop_ms = integer(fields, "stop_ms");
  if (stop_ms <= 0 || stop_ms > kLongestStop) fail(fields, "stop_ms", "is not a time from 1 ms to a day");
  launch.start.stop_after = stop_ms * kMs;
  read_limits(object_field(fields, "limits"), launch);
  object settings = object_field(fields, "settings");
  launch.start.config = read_service_config(settings);
  // A server without a shared dependency needs no address of one.
  if (launch.start.config.has_dependency || find(fields, "db")) launch.database = address(fields, "db");
  launch.start.gauge_names = read_gauge_names(settings);
  launch.settings = digest(simdjson::minify(settings));
  return launch;
}

}  // namespace

std::string fixed_differences(const Launch& running, const Launch& read) {
  std::string out;
  auto note = [&](bool differs, const char* name) {
    if (differs) out += std::string(out.empty() ? "" : ", ") + name;
  };
  note(running.name != read.name, "name");
  note(!net::same_address(running.listen, read.listen), "listen");
  note(running.start.seed != read.start.seed, "seed");
  note(running.start.stop_after != read.start.stop_after, "stop_ms");
  note(running.limits != read.limits, "limits");
  note(running.settings != read.settings, "settings");
  return out;
}

Launch read_launch(const char* path) {
  if (!path || !*path) throw std::runtime_error("LB_CONFIG names no file");
  const std::string file(path);
  simdjson::padded_string bytes;
  if (auto error = simdjson::padded_string::load(file).get(bytes)) {
    throw std::runtime_error(file + ": " + simdjson::error_message(error));
  }
  simdjson::dom::parser parser;
  element value;
  if (auto error = parser.parse(bytes).get(value))
    throw std::runtime_error(file + ":" + format_with_location(error, bytes));
  object fields;
  if (value.get(fields) != simdjson::SUCCESS) throw std::runtime_error(file + ": not an object");
  try {
    return read_fields(fields);
  } catch (const FieldError& error) {
    throw std::runtime_error(file + ":" + format_with_location(error, value, bytes));
  }
}

}  // namespace myrtlecroft
