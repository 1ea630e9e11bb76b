// The plan of a release: read from its file (docs/releases.md), and written into and read from the command
// that starts it. Called by the operators' command-line tool and by the operators' commands, on any thread.
// Owns nothing.
#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

#include "agreement.pb.h"

namespace myrtlecroft::releases {

// Reads a plan's file, with defaults for what it leaves out. Throws settings::DocumentError.
agreement::Plan read_plan(const std::string& path);

// The operators' command that starts this plan.
std::string release_start_command(const agreement::Plan& plan);
// The plan of such a command, from its JSON; no value: it can't be read by this version.
std::optional<agreement::Plan> parse_release_plan(const std::string& json);

// The unit of shares and capacities in the agreed state.
inline std::uint32_t thousandths(double value) {
  return static_cast<std::uint32_t>(std::lround(1000 * value));
}

// Number of waves; the first few servers are one.
inline std::uint32_t wave_count(const agreement::Plan& plan) {
  return 1 + static_cast<std::uint32_t>(plan.waves_size());
}

}  // namespace myrtlecroft::releases
