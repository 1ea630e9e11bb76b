#include "net/fastcgi.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::net {
namespace {

enum RecordType : std::uint8_t {
  kBegin = 1,
  kAbort = 2,
  kEnd = 3,
  kParams = 4,
  kStdin = 5,
  kStdout = 6,
  kGetValues = 9,
  kGetValuesResult = 10,
  kUnknownType = 11
};

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeader = 8;
constexpr std::size_t kBeginBody = 8;
constexpr std::size_t kMaxOpen = 32;           // on one connection
constexpr std::size_t kMaxParameters = 8'192;  // bytes of one request; no record needs more
constexpr std::size_t kMaxBody = 2'048;
constexpr std::size_t kMaxOutput = 65'528;  // of one record, a multiple of 8
constexpr std::size_t kFieldCost = 128;     // bytes beside its text
constexpr std::uint8_t kKeepConnection = 1;
constexpr std::uint16_t kResponder = 1;

std::uint8_t byte_at(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }
std::uint16_t short_at(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(byte_at(bytes, at) << 8 | byte_at(bytes, at + 1));
}

void append_record(std::string& out, std::uint8_t type, std::uint16_t id, std::string_view content) {
  std::size_t padding = (8 - content.size() % 8) % 8;
  const std::uint8_t header[kHeader] = {kVersion,
                                        type,
                                        static_cast<std::uint8_t>(id >> 8),
                                        static_cast<std::uint8_t>(id),
                                        static_cast<std::uint8_t>(content.size() >> 8),
                                        static_cast<std::uint8_t>(content.size()),
                                        static_cast<std::uint8_t>(padding),
                                        0};
  out.append(reinterpret_cast<const char*>(header), kHeader);
  out += content;
  out.append(padding, '\0');
}

bool read_length(std::string_view& bytes, std::size_t& length) {
  if (bytes.empty()) return false;
  std::size_t size = byte_at(bytes, 0) & 0x80 ? 4 : 1;
  if (bytes.size() < size) return false;
  length = byte_at(bytes, 0) & 0x7f;
  for (std::size_t i = 1; i < size; ++i) length = length << 8 | byte_at(bytes, i);
  bytes.remove_prefix(size);
  return true;
}

void append_pair(std::string& out, std::string_view name, std::string_view value) {  // both are short here
  out += static_cast<char>(name.size());
  out += static_cast<char>(value.size());
  out += name;
  out += value;
}

}  // namespace

bool read_pairs(std::string_view bytes, std::map<std::string, std::string, std::less<>>& into) {
  while (!bytes.empty()) {
    std::size_t name = 0;
    std::size_t value = 0;
    if (!read_length(bytes, name) || !read_length(bytes, value)) return false;
    if (name > bytes.size() || value > bytes.size() - name) return false;
    into[std::string(bytes.substr(0, name))] = bytes.substr(name, value);
    bytes.remove_prefix(name + value);
  }
  return true;
}

std::string encode_answer(std::uint16_t id, std::string_view output, ProtocolStatus status) {
  std::string out;
  for (std::size_t at = 0; at < output.size(); at += kMaxOutput) {
    append_record(out, kStdout, id, output.substr(at, kMaxOutput));
  }
  if (!output.empty()) append_record(out, kStdout, id, "");
  const char end[kBeginBody] = {0, 0, 0, 0, static_cast<char>(status), 0, 0, 0};
  append_record(out, kEnd, id, std::string_view(end, sizeof end));
  return out;
}

std::size_t CgiReader::take(std::string_view bytes, bool& malformed) {
  std::size_t taken = 0;
  while (bytes.size() - taken >= kHeader) {
    std::string_view rest = bytes.substr(taken);
    std::size_t length = short_at(rest, 4);
    std::size_t whole = kHeader + length + byte_at(rest, 6);
    if (byte_at(rest, 0) != kVersion || length > kMaxParameters) return malformed = true, taken;
    if (rest.size() < whole) break;
    taken += whole;
    ++records_;
    if (!record(byte_at(rest, 1), short_at(rest, 2), rest.substr(kHeader, length))) {
      return malformed = true, taken;
    }
  }
  return taken;
}

std::size_t CgiReader::bytes_held() const {
  std::size_t bytes = 0;
  for (const auto& [id, partial] : partial_) {
    bytes += sizeof partial + partial.parameters.size() + partial.request.body.size();
    for (const auto& [name, value] : partial.request.fields) bytes += kFieldCost + name.size() + value.size();
  }
  return bytes;
}

std::uint64_t CgiReader::oldest() const {
  std::uint64_t oldest = 0;
  for (const auto& [id, partial] : partial_) {
    if (oldest == 0 || partial.number < oldest) oldest = partial.number;
  }
  return oldest;
}

bool CgiReader::cancel_oldest() {
  std::uint64_t number = oldest();
  for (auto& [id, partial] : partial_) {
    if (partial.number != number) continue;
    events_.reply(encode_answer(id, "", ProtocolStatus::kOverloaded));
    partial_.erase(id);
    return true;
  }
  return false;
}

bool CgiReader::record(std::uint8_t type, std::uint16_t id, std::string_view content) {
  if (id == 0) return management(type, content);
  if (type == kBegin) return begin(id, content);
  auto place = partial_.find(id);
  if (type == kAbort) {
    if (place != partial_.end()) {
      partial_.erase(place);
      events_.reply(encode_answer(id, "", ProtocolStatus::kComplete));
    } else if (events_.is_unanswered(id)) {
      events_.handle_abort(id);
    }
    return true;
  }
  if (place == partial_.end()) return true;  // of a request that is no longer open, or was rejected
  if (type == kParams) return parameters(place->second, content);
  if (type == kStdin) return input(place->second, content);
  return true;
}

bool CgiReader::management(std::uint8_t type, std::string_view content) {
  std::string out;
  if (type != kGetValues) {
    const char unknown[kBeginBody] = {static_cast<char>(type)};
    append_record(out, kUnknownType, 0, std::string_view(unknown, sizeof unknown));
  } else {
    std::map<std::string, std::string, std::less<>> asked;
    if (!read_pairs(content, asked)) return false;
    std::string values;
    if (asked.contains("FCGI_MAX_REQS")) append_pair(values, "FCGI_MAX_REQS", std::to_string(kMaxOpen));
    if (asked.contains("FCGI_MPXS_CONNS")) append_pair(values, "FCGI_MPXS_CONNS", "1");
    append_record(out, kGetValuesResult, 0, values);
  }
  events_.reply(out);
  return true;
}

bool CgiReader::begin(std::uint16_t id, std::string_view content) {
  if (content.size() < kBeginBody || partial_.contains(id) || events_.is_unanswered(id)) return false;
  if (short_at(content, 0) != kResponder) {
    events_.reply(encode_answer(id, "", ProtocolStatus::kUnknownRole));
  } else if (partial_.size() + events_.unanswered_count() >= kMaxOpen) {
    events_.reply(encode_answer(id, "", ProtocolStatus::kOverloaded));
  } else {
    Partial& partial = partial_[id];
    partial.number = ++begun_;
    CgiRequest& request = partial.request;
    request.id = id;
    request.keep_connection = byte_at(content, 2) & kKeepConnection;
  }
  return true;
}

bool CgiReader::parameters(Partial& partial, std::string_view content) {
  if (partial.parameters_done) return content.empty();
  if (!content.empty()) {
    partial.parameters += content;
    return partial.parameters.size() <= kMaxParameters;
  }
  partial.parameters_done = true;
  bool good = read_pairs(partial.parameters, partial.request.fields);
  partial.parameters = {};
  return good;
}

bool CgiReader::input(Partial& partial, std::string_view content) {
  if (!partial.parameters_done) return false;
  if (!content.empty()) {
    partial.request.body += content;
    return partial.request.body.size() <= kMaxBody;
  }
  CgiRequest request = std::move(partial.request);
  partial_.erase(request.id);
  events_.handle_request(std::move(request));
  return true;
}

}  // namespace myrtlecroft::net
