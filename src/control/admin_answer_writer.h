// Serializes an admin answer onto an operator's connection. Called by AdminServer and AdminCommands on the
// loop's thread.
#pragma once

#include "control.pb.h"
#include "net/connection.h"

namespace myrtlecroft::control {

// Writes the answer's length (four bytes, big-endian) and the answer, and closes the connection once all is
// sent. An answer above the size limit (240 KiB) is replaced by an error that names its size and the limit.
void write_answer(net::Connection& connection, const AdminAnswer& answer);

}  // namespace myrtlecroft::control
