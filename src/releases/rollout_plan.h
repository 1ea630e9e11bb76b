// The plan of a release: read from its file (docs/releases.md), and encoded in and parsed from the command
// that starts the release. Called by the operators' command-line tool and by operator_commands, on any
// thread. Owns nothing.
#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

#include "agreement.pb.h"

namespace myrtlecroft::releases {

// Reads a plan file; missing fields have defaults. Throws settings::DocumentError for an invalid file.
agreement::Plan read_plan(const std::string& path);

// Returns the operators' command that starts a release with this plan.
std::string release_start_command(const agreement::Plan& plan);
// Parses the JSON plan of a start command; no value: this version can't parse it.
std::optional<agreement::Plan> parse_release_plan(const std::string& json);

// Converts a share or capacity to thousandths, the unit of the agreed state.
inline std::uint32_t to_thousandths(double value) {
  return static_cast<std::uint32_t>(std::lround(1000 * value));
}

// Returns the number of waves, including the first one, which has `first_nodes` servers.
inline std::uint32_t wave_count(const agreement::Plan& plan) {
  return 1 + static_cast<std::uint32_t>(plan.waves_size());
}

}  // namespace myrtlecroft::releases
