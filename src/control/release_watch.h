// A release on the terminal while it runs.
#pragma once

#include <functional>

#include "control.pb.h"

namespace myrtlecroft::control {

// Asks again and again, until the release is over or 'q' is pressed. Throws std::runtime_error where nobody
// answers any more, or where there is no terminal.
void watch_release(const std::function<AdminAnswer()>& ask);

}  // namespace myrtlecroft::control
