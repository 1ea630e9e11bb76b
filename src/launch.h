// Reads the file that configures a server at its start: name, addresses, limits and the settings of the
// deployment. Called by the server program at start and at a reload.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "service/service.h"

namespace myrtlecroft {

// Parameters of one server from the file that LB_CONFIG names.
struct LaunchConfig {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in engine{};
  sockaddr_in members{};
  sockaddr_in database{};
  std::size_t descriptors = 0;  // limit on open descriptors
  std::size_t memory_bytes = 0;
  service::Service::Options start;
  // Digests of the file's `limits` and `settings`, to detect changes at a reload. The settings of a large
  // deployment are as long as everything that is read from them, so they are not kept.
  std::uint64_t limits_digest = 0;
  std::uint64_t settings_digest = 0;
};

// Names of the fields that differ in a reloaded file and take effect only after a restart, separated by
// commas; empty if there are none.
std::string list_fixed_changes(const LaunchConfig& running, const LaunchConfig& reloaded);

// Reads the file at `path`, the value of LB_CONFIG. Throws std::runtime_error with a message for the
// operators, also if `path` is null or empty.
LaunchConfig read_launch_config(const char* path);

}  // namespace myrtlecroft
