// The client side of FastCGI, as a proxy or balancer uses it: encodes a request and parses the records of the
// response.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::standin {

constexpr std::size_t kFastCgiHeaderSize = 8;
constexpr std::uint8_t kFastCgiEndRequest = 3;
constexpr std::uint8_t kFastCgiStdout = 6;
constexpr std::size_t kFastCgiProtocolStatusOffset = 4;  // in an end-request record; 2: overloaded

// Calls `handle_record(type, request_id, content)` for each complete record. Returns the number of bytes
// consumed.
template <class HandleRecord>
std::size_t for_each_fastcgi_record(std::string_view bytes, HandleRecord handle_record) {
  std::size_t consumed = 0;
  while (bytes.size() - consumed >= kFastCgiHeaderSize) {
    auto byte = [&](std::size_t at) { return static_cast<std::uint8_t>(bytes[consumed + at]); };
    std::size_t size = static_cast<std::size_t>(byte(4) << 8 | byte(5));
    std::size_t record_size = kFastCgiHeaderSize + size + byte(6);
    if (bytes.size() - consumed < record_size) break;
    std::uint8_t type = byte(1);
    int id = byte(2) << 8 | byte(3);
    std::string_view content = bytes.substr(consumed + kFastCgiHeaderSize, size);
    consumed += record_size;
    handle_record(type, id, content);
  }
  return consumed;
}

struct FastCgiRequestFields {
  std::string path;
  std::uint64_t trace = 0;
  Nanos accepted_unix = 0;
  int client = 1;
  std::string tenant = "acme";
  Nanos wait = 0;
  std::string key;  // empty: none
  std::string body;
  int expected_ms = 20;  // core time that the caller estimates
};

inline std::string encode_fastcgi_record(std::uint8_t type, int id, std::string_view content) {
  std::string out = {1,
                     static_cast<char>(type),
                     static_cast<char>(id >> 8),
                     static_cast<char>(id & 0xff),
                     static_cast<char>(content.size() >> 8),
                     static_cast<char>(content.size() & 0xff),
                     0,
                     0};
  return out.append(content);
}

// `id`: FastCGI request id on the connection; `keep_connection`: the server leaves the connection open
// afterwards.
inline std::string encode_fastcgi_request(const FastCgiRequestFields& fields, int id = 1,
                                          bool keep_connection = false) {
  std::string params;
  auto add = [&](std::string_view name, std::string_view value) {  // one length byte each: below 128
    params += static_cast<char>(name.size());
    params += static_cast<char>(value.size());
    params.append(name).append(value);
  };
  char trace[17];
  std::snprintf(trace, sizeof trace, "%016llx", static_cast<unsigned long long>(fields.trace));
  add("REQUEST_METHOD", "POST");
  add("SCRIPT_NAME", fields.path);
  add("HTTP_TRACE_ID", trace);
  add("HTTP_ACCEPTED_AT_MS", std::to_string(fields.accepted_unix / kMs));
  add("HTTP_CLIENT_NO", std::to_string(fields.client));
  add("HTTP_PROJECT", fields.tenant);
  add("HTTP_MAX_WAIT_MS", std::to_string(fields.wait / kMs));
  add("HTTP_EXPECTED_MS", std::to_string(fields.expected_ms));
  add("HTTP_RESERVE_KB", "20");
  add("HTTP_STANDING", "0.5");
  if (!fields.key.empty()) add("HTTP_REPLAY_KEY", fields.key);
  const char begin[8] = {0, 1, static_cast<char>(keep_connection), 0, 0, 0, 0, 0};
  return encode_fastcgi_record(1, id, std::string_view(begin, sizeof begin)) +
         encode_fastcgi_record(4, id, params) + encode_fastcgi_record(4, id, "") +
         encode_fastcgi_record(5, id, fields.body) + encode_fastcgi_record(5, id, "");
}

}  // namespace myrtlecroft::standin
