#include "control/admin_answer_writer.h"

#include <cstddef>
#include <string>

namespace myrtlecroft::control {
namespace {

// net::Connection closes a connection once about 260 kB are unsent on it; a larger answer would be lost.
constexpr std::size_t kMaxAnswerBytes = std::size_t{240} << 10;

// Four bytes, big-endian.
std::string length_prefix(std::size_t size) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 0xff);
  return out;
}

}  // namespace

void write_answer(net::Connection& connection, const AdminAnswer& answer) {
  std::string body = answer.SerializeAsString();
  if (body.size() > kMaxAnswerBytes) {
    AdminAnswer too_large;
    too_large.set_error("the answer takes " + std::to_string(body.size()) +
                        " bytes, more than the limit of " + std::to_string(kMaxAnswerBytes) +
                        ": narrow the query");
    body = too_large.SerializeAsString();
  }
  connection.write(length_prefix(body.size()) + body);
  connection.linger(net::CloseReason::kDone);
}

}  // namespace myrtlecroft::control
