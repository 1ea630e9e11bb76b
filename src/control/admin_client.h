// Asks a running control service at its admin address.
#pragma once

#include <netinet/in.h>

#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

// A question as src/control/question.h reads it, or a command. Throws std::runtime_error where no whole
// answer comes within some seconds.
AdminAnswer ask(const sockaddr_in& admin, const std::string& question);

}  // namespace myrtlecroft::control
