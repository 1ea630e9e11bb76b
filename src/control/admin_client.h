// A blocking client of a control service's admin interface, used by the program's subcommands and by tests.
// Each call opens its own connection.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

// Thrown when a call received no complete answer; what() names the port.
class AdminClientError final : public std::runtime_error {
 public:
  enum class Kind {
    kUnreachable,      // connecting or sending failed
    kIncompleteAnswer  // the answer was cut off, timed out or could not be parsed
  };
  AdminClientError(Kind kind, std::uint16_t port);
  Kind kind() const { return kind_; }
  std::uint16_t port() const { return port_; }

 private:
  Kind kind_;
  std::uint16_t port_;
};

// Sends queries and commands to one control service. Has no state between calls.
class AdminClient {
 public:
  explicit AdminClient(const sockaddr_in& server) : server_(server) {}

  // Sends one line, a query (src/control/admin_query.h) or a command, and waits for the answer. A send or
  // receive that takes longer than 5 s fails. An answer with an error field is returned like any other.
  // Throws AdminClientError.
  AdminAnswer call(const std::string& line) const;

 private:
  sockaddr_in server_;
};

}  // namespace myrtlecroft::control
