// Shows the progress of a release on the terminal. Called by main.cpp.
#pragma once

#include <functional>

#include "control.pb.h"

namespace myrtlecroft::control {

// Calls `poll_status` twice a second and redraws until the release ends or 'q' is pressed, then prints the
// last answer as a table. Throws std::runtime_error if standard output is not a terminal, and rethrows the
// exceptions of `poll_status`.
void watch_release(const std::function<AdminAnswer()>& poll_status);

}  // namespace myrtlecroft::control
