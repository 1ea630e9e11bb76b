// Conversions between the clock's nanoseconds and the seconds that the estimates count in.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::overload {

inline double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }
inline Nanos nanos(double time) { return static_cast<Nanos>(time * static_cast<double>(kSecond)); }

}  // namespace myrtlecroft::overload
