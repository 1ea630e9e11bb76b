// The plan of a release, from its file (docs/releases.md).
#pragma once

#include <cmath>
#include <cstdint>
#include <string>

#include "agreement.pb.h"

namespace myrtlecroft::releases {

// Throws settings::DocumentError.
agreement::Plan read_plan(const std::string& path);

// The command that starts it, and the plan of such a command's last word. False where it makes no sense to
// this version.
std::string release_start_command(const agreement::Plan& plan);
bool parse_release_plan(const std::string& told, agreement::Plan& out);

// As shares are agreed on.
inline std::uint32_t thousandths(double value) {
  return static_cast<std::uint32_t>(std::lround(1000 * value));
}

// Waves, the first few servers counted as one.
inline std::uint32_t wave_count(const agreement::Plan& plan) {
  return 1 + static_cast<std::uint32_t>(plan.waves_size());
}

}  // namespace myrtlecroft::releases
