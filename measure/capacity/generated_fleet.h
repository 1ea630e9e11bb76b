// Generates fleet files of any size in the operators' format, so that a measurement
// reads its fleet as a control instance does.
#pragma once

#include <filesystem>
#include <string>

#include "fleet/fleet.h"

namespace myrtlecroft::capacity {

constexpr int kServersPerRack = 40;
constexpr int kZones = 16;

struct FleetSize {
  int servers = 100;
  int services = 4;               // request classes in all; the default of four has every kind
  int deduplicated_services = 1;  // number of services with a route for each owner of a key shard
  int tenants = 2;
  int shard_digits = 3;
  int callers = 1000;
  int subset_size = 0;  // servers of each service in a caller's subset; 0: no subsetting in the file
};

// A folder that the destructor removes with its content. The constructor throws std::runtime_error when the
// folder can't be created.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// Servers of one rack have consecutive numbers, and the zones divide the servers evenly.
std::string server_name(int server);
std::string service_name(int service);

// Throws std::runtime_error when the file can't be written.
void write_fleet(const FleetSize& size, const std::filesystem::path& file);
// Writes the file and reads it back. Throws settings::DocumentError when
// this version rejects a fleet of that size.
fleet::Fleet generate_fleet(const FleetSize& size);
// `shards` is a power of 16. 65,536 is set after reading, because the file accepts only 16 to 4,096.
fleet::Fleet generate_fleet_with_shards(FleetSize size, int shards);
// `services` is the total; services beyond `size.services` are added
// after reading, as copies of the first one.
fleet::Fleet generate_fleet_with_services(const FleetSize& size, int services);

}  // namespace myrtlecroft::capacity
