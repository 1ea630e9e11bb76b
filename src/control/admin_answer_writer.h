// Writes one answer to an operator's connection. Called by AdminServer and AdminCommands on the loop's
// thread.
#pragma once

#include "control.pb.h"
#include "net/connection.h"

namespace myrtlecroft::control {

// Four bytes of length, big-endian, then the answer; the connection is closed once they are sent. An answer
// above the size bound is replaced by one with an error that names both sizes.
void write_answer(net::Connection& connection, const AdminAnswer& answer);

}  // namespace myrtlecroft::control
