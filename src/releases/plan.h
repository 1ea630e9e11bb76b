// The plan of a release, from its file (docs/releases.md).
#pragma once

#include <string>

#include "agreement.pb.h"

namespace myrtlecroft::releases {

// Throws settings::DocumentError.
agreement::Plan read_plan(const std::string& path);

// Waves, the first few nodes counted as one.
inline std::uint32_t waves_of(const agreement::Plan& plan) {
  return 1 + static_cast<std::uint32_t>(plan.waves_size());
}

}  // namespace myrtlecroft::releases
