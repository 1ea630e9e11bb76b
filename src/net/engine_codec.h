// Encodes and decodes the lines of the engine protocol: one JSON object a line. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlecroft::net {

// The known fields of a line from the engine. An absent field keeps its default.
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

// Returns nothing when the line is not a JSON object or a known field has the wrong type. Unknown fields are
// skipped.
std::optional<EngineLine> read_engine_line(std::string_view line);

// Asks for the notices after `last_notice`.
std::string encode_attach(std::uint64_t last_notice);
// Starts a run; the body is sent as base64.
std::string encode_run(std::string_view id, std::string_view request_class, std::string_view body);
// Passes the reply of a dependency call to its run.
std::string encode_feed(std::string_view id, std::string_view reply);
// Answers the NEED with that notice number: the run continues without its dependency call.
std::string encode_skip(std::string_view id, std::uint64_t notice);
// Queries the gauges; the engine returns the token with them.
std::string encode_stat(std::uint64_t token);
// Starts a health test; the engine returns the token with the result.
std::string encode_test(std::uint64_t token);

}  // namespace myrtlecroft::net
