#include "net/database_codec.h"

#include <charconv>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr std::string_view kEnd = "\r\n";
constexpr std::size_t kLongestLine = 512;
constexpr std::size_t kLongestBody = std::size_t{1} << 16;

std::string_view next_word(std::string_view& line) {
  std::size_t space = line.find(' ');
  std::string_view word = line.substr(0, space);
  line.remove_prefix(space == std::string_view::npos ? line.size() : space + 1);
  return word;
}

}  // namespace

LineState read_database_reply(std::string_view bytes, DatabaseReply& out) {
  std::size_t end = bytes.substr(0, kLongestLine).find(kEnd);
  if (end == std::string_view::npos) {
    return bytes.size() < kLongestLine ? LineState::kPartial : LineState::kMalformed;
  }
  std::string_view line = bytes.substr(0, end);
  out = DatabaseReply{};
  out.id = next_word(line);
  out.size = end + kEnd.size();
  std::string_view word = next_word(line);
  if (out.id.empty()) return LineState::kMalformed;
  if (word != "ROWS") {
    using service::CallResult;
    constexpr std::pair<std::string_view, CallResult> kResults[] = {{"FULL", CallResult::kAtCapacity},
                                                                    {"FAIL", CallResult::kFailed},
                                                                    {"TIMEOUT", CallResult::kTimedOut},
                                                                    {"NONE", CallResult::kNotExecuted}};
    for (const auto& [name, reply] : kResults) {
      if (name != word) continue;
      out.reply = reply;
      return LineState::kComplete;
    }
    return LineState::kMalformed;
  }
  std::string_view digits = next_word(line);
  std::size_t length = 0;
  auto [past, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (error != std::errc() || past != digits.data() + digits.size() || length > kLongestBody) {
    return LineState::kMalformed;
  }
  if (bytes.size() < out.size + length + kEnd.size()) return LineState::kPartial;
  out.body = bytes.substr(out.size, length);
  out.size += length + kEnd.size();
  return bytes.substr(out.size - kEnd.size(), kEnd.size()) == kEnd ? LineState::kComplete
                                                                   : LineState::kMalformed;
}

std::string query_line(std::string_view id, std::int64_t longest_ms, std::string_view body) {
  std::string line = "Q ";
  line += id;
  line += ' ' + std::to_string(longest_ms) + ' ' + std::to_string(body.size());
  line += kEnd;
  line += body;
  line += kEnd;
  return line;
}

std::string give_up_line(std::string_view id) {
  std::string line = "X ";
  line += id;
  line += kEnd;
  return line;
}

}  // namespace myrtlecroft::net
