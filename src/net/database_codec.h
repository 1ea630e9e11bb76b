// Encodes and decodes the lines of the database protocol. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "service/service.h"

namespace myrtlecroft::net {

struct DatabaseReply {
  std::string_view id;
  service::CallResult result = service::CallResult::kSucceeded;
  std::string_view body;  // only for ROWS
  std::size_t size = 0;   // length of the encoded reply in bytes
};

// Whether the input begins with a complete reply, a part of one, or neither.
enum class LineState { kComplete, kPartial, kMalformed };

// Parses the reply at the front of the bytes. `out` is complete only for kComplete; the views in `out` point
// into `bytes`.
LineState read_database_reply(std::string_view bytes, DatabaseReply& out);

// A call with its time limit and body.
std::string encode_query(std::string_view id, std::int64_t timeout_ms, std::string_view body);
// Cancels the call of that request.
std::string encode_cancel(std::string_view id);

}  // namespace myrtlecroft::net
