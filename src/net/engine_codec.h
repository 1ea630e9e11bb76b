// The engine's lines: JSON objects, one a line. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlecroft::net {

// What a line of the engine may hold; what is absent stays as it is here.
struct EngineLine {
  std::string cmd;
  std::string req;
  std::string result;
  std::string token;
  std::string payload;  // still in base64
  std::uint64_t offset = 0;
  double elapsed_ms = 0;
  std::vector<double> load;
};

// Nothing for what is no JSON object, or has a known field of another kind. Unknown fields are skipped.
std::optional<EngineLine> read_engine_line(std::string_view line);

std::string attach_line(std::uint64_t last_notice);
std::string run_line(std::string_view id, std::string_view request_class, std::string_view body);
std::string feed_line(std::string_view id, std::string_view reply);
std::string skip_line(std::string_view id, std::uint64_t notice);
std::string stat_line(std::uint64_t token);
std::string test_line(std::uint64_t token);

}  // namespace myrtlecroft::net
