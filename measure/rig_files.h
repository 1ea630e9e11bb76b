// Writes the files of the rig's processes: the fleet file, and each server's configuration and settings.
// Called before the processes start.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "rig_context.h"

namespace myrtlecroft::rehearsal {

constexpr Nanos kKeyWindow = 2000 * kMs;  // deduplication window
constexpr Nanos kKeyedTimeout = 800 * kMs;
constexpr Nanos kReadTimeout = 1500 * kMs;
constexpr const char* kKeyedClass = "booking";
// Request classes of reads.
constexpr std::array<const char*, 2> kReadClasses = {"look-up", "search"};

// Loopback ports of one server and of the processes that it connects to.
struct ServerPorts {
  int server = 0;
  int engine = 0;
  std::vector<int> reports;  // ports of the relays to the instances
};

void write_fleet_file(const RigContext& context, const std::vector<ServerPorts>& servers);
void write_server_files(const RigContext& context, int server, const ServerPorts& ports, int database_port);

}  // namespace myrtlecroft::rehearsal
