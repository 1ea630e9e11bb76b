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

constexpr std::int64_t kMaxStopMs = 86'400'000;     // one day
constexpr std::int64_t kDefaultDescriptors = 1024;  // if limits.sockets is missing
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::size_t kResultMemoryDivisor = 4;  // one part in 4 of the memory, for results kept by key

sockaddr_in read_address(object fields, std::string_view name) {
  std::string value = text(fields, name);
  std::size_t colon = value.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  std::uint16_t port = 0;
  bool valid = colon != std::string::npos;
  if (valid) {
    const char* end = value.data() + value.size();
    auto [parsed_end, error] = std::from_chars(value.data() + colon + 1, end, port);
    valid = error == std::errc() && parsed_end == end && port != 0;
  }
  valid = valid && inet_pton(AF_INET, value.substr(0, colon).c_str(), &out.sin_addr) == 1;
  if (!valid) fail(fields, name, "is not an address: '" + value + "'");
  out.sin_port = htons(port);
  return out;
}

std::uint64_t read_seed(object fields) {
  std::string digits = text(fields, "seed");
  std::uint64_t seed = 0;
  auto [parsed_end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
  if (error != std::errc() || parsed_end != digits.data() + digits.size())
    fail(fields, "seed", "is not a hexadecimal number");
  return seed;
}

// FNV-1a. Two texts with the same digest are taken for equal; the only effect is that a reload does not log
// the change.
std::uint64_t digest(std::string_view text) {
  std::uint64_t out = 0xcbf29ce484222325;
  for (char byte : text) out = (out ^ static_cast<std::uint8_t>(byte)) * 0x100000001b3;
  return out;
}

void read_limits(object limits, LaunchConfig& launch) {
  std::int64_t descriptors = integer_or(limits, "sockets", kDefaultDescriptors);
  if (descriptors < kMinDescriptors) fail(limits, "sockets", "is less than 64");
  launch.descriptors = static_cast<std::size_t>(descriptors);
  double memory_mb = number(limits, "memory_mb");
  if (memory_mb <= 0) fail(limits, "memory_mb", "is not above 0");
  launch.memory_bytes = static_cast<std::size_t>(memory_mb * 1024 * 1024);
  launch.start.max_result_bytes = launch.memory_bytes / kResultMemoryDivisor;
  launch.limits_digest = digest(simdjson::minify(limits));
}

// Throws FieldError.
LaunchConfig read_fields(object fields) {
  LaunchConfig launch;
  launch.name = text(fields, "name");
  launch.listen = read_address(fields, "listen");
  launch.engine = read_address(fields, "engine");
  launch.members = read_address(fields, "members");
  launch.start.seed = read_seed(fields);
  std::int64_t stop_ms = integer(fields, "stop_ms");
  if (stop_ms <= 0 || stop_ms > kMaxStopMs) fail(fields, "stop_ms", "is not from 1 to 86400000");
  launch.start.stop_after = stop_ms * kMs;
  read_limits(object_field(fields, "limits"), launch);
  object settings = object_field(fields, "settings");
  launch.start.config = read_service_config(settings);
  // The dependency's address is required only if the server has one.
  if (launch.start.config.has_dependency || find(fields, "db")) launch.database = read_address(fields, "db");
  launch.start.gauge_names = read_gauge_names(settings);
  launch.settings_digest = digest(simdjson::minify(settings));
  return launch;
}

}  // namespace

std::string list_fixed_changes(const LaunchConfig& running, const LaunchConfig& reloaded) {
  std::string out;
  auto add_if = [&](bool differs, const char* name) {
    if (differs) out += std::string(out.empty() ? "" : ", ") + name;
  };
  add_if(running.name != reloaded.name, "name");
  add_if(!net::same_address(running.listen, reloaded.listen), "listen");
  add_if(running.start.seed != reloaded.start.seed, "seed");
  add_if(running.start.stop_after != reloaded.start.stop_after, "stop_ms");
  add_if(running.limits_digest != reloaded.limits_digest, "limits");
  add_if(running.settings_digest != reloaded.settings_digest, "settings");
  return out;
}

LaunchConfig read_launch_config(const char* path) {
  if (!path || !*path) throw std::runtime_error("LB_CONFIG is not set or is empty");
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
