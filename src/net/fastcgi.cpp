#include "net/fastcgi.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::net {
namespace {

enum RecordType : std::uint8_t {
  kBeginRequest = 1,
  kAbortRequest = 2,
  kEndRequest = 3,
  kParams = 4,
  kStdin = 5,
  kStdout = 6,
  kGetValues = 9,
  kGetValuesResult = 10,
  kUnknownType = 11
};

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 8;
constexpr std::size_t kFixedBodyBytes = 8;
constexpr std::size_t kMaxOpenRequests = 32;    // on one connection, incomplete or unanswered
constexpr std::size_t kMaxParamsBytes = 8'192;  // bytes of a request; also the limit of a record
constexpr std::size_t kMaxBodyBytes = 2'048;
constexpr std::size_t kMaxRecordContent = 65'528;  // bytes of a record, a multiple of 8
constexpr std::size_t kParamOverheadBytes = 128;   // estimated memory of a parameter beside its text
constexpr std::uint8_t kKeepConnectionFlag = 1;
constexpr std::uint16_t kResponderRole = 1;

std::uint8_t byte_at(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }
std::uint16_t uint16_at(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(byte_at(bytes, at) << 8 | byte_at(bytes, at + 1));
}

void append_record(std::string& out, std::uint8_t type, std::uint16_t id, std::string_view content) {
  std::size_t padding = (8 - content.size() % 8) % 8;
  const std::uint8_t header[kHeaderBytes] = {kVersion,
                                             type,
                                             static_cast<std::uint8_t>(id >> 8),
                                             static_cast<std::uint8_t>(id),
                                             static_cast<std::uint8_t>(content.size() >> 8),
                                             static_cast<std::uint8_t>(content.size()),
                                             static_cast<std::uint8_t>(padding),
                                             0};
  out.append(reinterpret_cast<const char*>(header), kHeaderBytes);
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

void append_pair(std::string& out, std::string_view name, std::string_view value) {  // both under 128 bytes
  out += static_cast<char>(name.size());
  out += static_cast<char>(value.size());
  out += name;
  out += value;
}

}  // namespace

bool read_name_value_pairs(std::string_view bytes, std::map<std::string, std::string, std::less<>>& into) {
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
  for (std::size_t at = 0; at < output.size(); at += kMaxRecordContent) {
    append_record(out, kStdout, id, output.substr(at, kMaxRecordContent));
  }
  if (!output.empty()) append_record(out, kStdout, id, "");
  const char end[kFixedBodyBytes] = {0, 0, 0, 0, static_cast<char>(status), 0, 0, 0};
  append_record(out, kEndRequest, id, std::string_view(end, sizeof end));
  return out;
}

std::size_t FastCgiReader::consume(std::string_view bytes, bool& malformed) {
  std::size_t consumed = 0;
  while (bytes.size() - consumed >= kHeaderBytes) {
    std::string_view rest = bytes.substr(consumed);
    std::size_t length = uint16_at(rest, 4);
    std::size_t record_size = kHeaderBytes + length + byte_at(rest, 6);
    if (byte_at(rest, 0) != kVersion || length > kMaxParamsBytes) return malformed = true, consumed;
    if (rest.size() < record_size) break;
    consumed += record_size;
    ++record_count_;
    if (!handle_record(byte_at(rest, 1), uint16_at(rest, 2), rest.substr(kHeaderBytes, length))) {
      return malformed = true, consumed;
    }
  }
  return consumed;
}

std::size_t FastCgiReader::buffered_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, partial] : partial_) {
    bytes += sizeof partial + partial.encoded_params.size() + partial.request.body.size();
    for (const auto& [name, value] : partial.request.params)
      bytes += kParamOverheadBytes + name.size() + value.size();
  }
  return bytes;
}

std::uint64_t FastCgiReader::oldest_partial_number() const {
  std::uint64_t oldest = 0;
  for (const auto& [id, partial] : partial_) {
    if (oldest == 0 || partial.number < oldest) oldest = partial.number;
  }
  return oldest;
}

bool FastCgiReader::cancel_oldest_partial() {
  std::uint64_t number = oldest_partial_number();
  for (auto& [id, partial] : partial_) {
    if (partial.number != number) continue;
    handler_.reply(encode_answer(id, "", ProtocolStatus::kOverloaded));
    partial_.erase(id);
    return true;
  }
  return false;
}

bool FastCgiReader::handle_record(std::uint8_t type, std::uint16_t id, std::string_view content) {
  if (id == 0) return handle_management_record(type, content);
  if (type == kBeginRequest) return handle_begin_request(id, content);
  auto entry = partial_.find(id);
  if (type == kAbortRequest) {
    if (entry != partial_.end()) {
      partial_.erase(entry);
      handler_.reply(encode_answer(id, "", ProtocolStatus::kComplete));
    } else if (handler_.is_unanswered(id)) {
      handler_.handle_abort(id);
    }
    return true;
  }
  if (entry == partial_.end()) return true;  // its request has ended or was rejected
  if (type == kParams) return handle_params(entry->second, content);
  if (type == kStdin) return handle_stdin(entry->second, content);
  return true;
}

bool FastCgiReader::handle_management_record(std::uint8_t type, std::string_view content) {
  std::string out;
  if (type != kGetValues) {
    const char unknown[kFixedBodyBytes] = {static_cast<char>(type)};
    append_record(out, kUnknownType, 0, std::string_view(unknown, sizeof unknown));
  } else {
    std::map<std::string, std::string, std::less<>> requested_names;
    if (!read_name_value_pairs(content, requested_names)) return false;
    std::string values;
    if (requested_names.contains("FCGI_MAX_REQS"))
      append_pair(values, "FCGI_MAX_REQS", std::to_string(kMaxOpenRequests));
    if (requested_names.contains("FCGI_MPXS_CONNS")) append_pair(values, "FCGI_MPXS_CONNS", "1");
    append_record(out, kGetValuesResult, 0, values);
  }
  handler_.reply(out);
  return true;
}

bool FastCgiReader::handle_begin_request(std::uint16_t id, std::string_view content) {
  if (content.size() < kFixedBodyBytes || partial_.contains(id) || handler_.is_unanswered(id)) return false;
  if (uint16_at(content, 0) != kResponderRole) {
    handler_.reply(encode_answer(id, "", ProtocolStatus::kUnknownRole));
  } else if (partial_.size() + handler_.unanswered_count() >= kMaxOpenRequests) {
    handler_.reply(encode_answer(id, "", ProtocolStatus::kOverloaded));
  } else {
    PartialRequest& partial = partial_[id];
    partial.number = ++begun_count_;
    FastCgiRequest& request = partial.request;
    request.id = id;
    request.keep_connection = byte_at(content, 2) & kKeepConnectionFlag;
  }
  return true;
}

bool FastCgiReader::handle_params(PartialRequest& partial, std::string_view content) {
  if (partial.params_complete) return content.empty();
  if (!content.empty()) {
    partial.encoded_params += content;
    return partial.encoded_params.size() <= kMaxParamsBytes;
  }
  partial.params_complete = true;
  bool valid = read_name_value_pairs(partial.encoded_params, partial.request.params);
  partial.encoded_params = {};
  return valid;
}

bool FastCgiReader::handle_stdin(PartialRequest& partial, std::string_view content) {
  if (!partial.params_complete) return false;
  if (!content.empty()) {
    partial.request.body += content;
    return partial.request.body.size() <= kMaxBodyBytes;
  }
  FastCgiRequest request = std::move(partial.request);
  partial_.erase(request.id);
  handler_.handle_request(std::move(request));
  return true;
}

}  // namespace myrtlecroft::net
