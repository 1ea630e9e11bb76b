// A client of a control service's admin address, for the program's subcommands and for tests. Blocking; used
// from one thread. Owns no connection between calls.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

// Why a call got no answer.
class AdminClientError final : public std::runtime_error {
 public:
  enum class Kind { kUnreachable, kIncompleteAnswer };
  AdminClientError(Kind kind, std::uint16_t port);
  Kind kind() const { return kind_; }
  std::uint16_t port() const { return port_; }

 private:
  Kind kind_;
  std::uint16_t port_;
};

class AdminClient {
 public:
  explicit AdminClient(const sockaddr_in& server) : server_(server) {}

  // Sends one line, a query (src/control/admin_query.h) or a command, and waits for the answer, some seconds
  // at most. An answer that carries an error is returned like any other. Throws AdminClientError.
  AdminAnswer call(const std::string& line) const;

 private:
  sockaddr_in server_;
};

}  // namespace myrtlecroft::control
