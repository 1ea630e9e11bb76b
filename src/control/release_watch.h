// Shows a release on the terminal while it runs. Called by main.cpp.
#pragma once

#include <functional>

#include "control.pb.h"

namespace myrtlecroft::control {

// Calls `poll_status` twice a second and redraws, until the release is over or 'q' is pressed; prints the
// last answer as a table then. Throws std::runtime_error where there is no terminal, and what `poll_status`
// throws.
void watch_release(const std::function<AdminAnswer()>& poll_status);

}  // namespace myrtlecroft::control
