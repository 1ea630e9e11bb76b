#include "net/database_codec.h"

#include <charconv>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxLineBytes = 512;  // with its line end
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 16;

std::string_view next_word(std::string_view& line) {
  std::size_t space = line.find(' ');
  std::string_view word = line.substr(0, space);
  line.remove_prefix(space == std::string_view::npos ? line.size() : space + 1);
  return word;
}

}  // namespace

LineState read_database_reply(std::string_view bytes, DatabaseReply& out) {
  std::size_t end = bytes.substr(0, kMaxLineBytes).find(kLineEnd);
  if (end == std::string_view::npos) {
    return bytes.size() < kMaxLineBytes ? LineState::kPartial : LineState::kMalformed;
  }
  std::string_view line = bytes.substr(0, end);
  out = DatabaseReply{};
  out.id = next_word(line);
  out.size = end + kLineEnd.size();
  std::string_view status = next_word(line);
  if (out.id.empty()) return LineState::kMalformed;
  if (status != "ROWS") {
    using service::CallResult;
    constexpr std::pair<std::string_view, CallResult> kResults[] = {{"FULL", CallResult::kAtCapacity},
                                                                    {"FAIL", CallResult::kFailed},
                                                                    {"TIMEOUT", CallResult::kTimedOut},
                                                                    {"NONE", CallResult::kNotExecuted}};
    for (const auto& [name, result] : kResults) {
      if (name != status) continue;
      out.result = result;
      return LineState::kComplete;
    }
    return LineState::kMalformed;
  }
  std::string_view digits = next_word(line);
  std::size_t length = 0;
  auto [parsed_end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (error != std::errc() || parsed_end != digits.data() + digits.size() || length > kMaxBodyBytes) {
    return LineState::kMalformed;
  }
  if (bytes.size() < out.size + length + kLineEnd.size()) return LineState::kPartial;
  out.body = bytes.substr(out.size, length);
  out.size += length + kLineEnd.size();
  return bytes.substr(out.size - kLineEnd.size(), kLineEnd.size()) == kLineEnd ? LineState::kComplete
                                                                               : LineState::kMalformed;
}

std::string encode_query(std::string_view id, std::int64_t timeout_ms, std::string_view body) {
  std::string line = "Q ";
  line += id;
  line += ' ' + std::to_string(timeout_ms) + ' ' + std::to_string(body.size());
  line += kLineEnd;
  line += body;
  line += kLineEnd;
  return line;
}

std::string encode_cancel(std::string_view id) {
  std::string line = "X ";
  line += id;
  line += kLineEnd;
  return line;
}

}  // namespace myrtlecroft::net
