// Conversions between the clock's nanoseconds and the seconds that the estimates use.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::overload {

inline double seconds(Nanos duration) { return static_cast<double>(duration) / static_cast<double>(kSecond); }
inline Nanos nanos(double duration) { return static_cast<Nanos>(duration * static_cast<double>(kSecond)); }

}  // namespace myrtlecroft::overload
