// The database's lines. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "service/service.h"

namespace myrtlecroft::net {

struct DatabaseReply {
  std::string_view id;
  service::CallResult reply = service::CallResult::kSucceeded;
  std::string_view body;  // of ROWS
  std::size_t size = 0;   // bytes it took of the input
};

enum class LineState { kComplete, kPartial, kMalformed };

// Reads one reply from the front of the bytes; what it names points into them.
LineState read_database_reply(std::string_view bytes, DatabaseReply& out);

std::string query_line(std::string_view id, std::int64_t longest_ms, std::string_view body);
std::string give_up_line(std::string_view id);

}  // namespace myrtlecroft::net
