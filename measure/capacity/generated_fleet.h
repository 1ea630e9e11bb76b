// Fleet files of any size, as operators would write them, so that a measurement reads its fleet the way an
// instance does.
#pragma once

#include <filesystem>
#include <string>

#include "fleet/fleet.h"

namespace myrtlecroft::capacity {

constexpr int kServersOfRack = 40;
constexpr int kZones = 16;

struct FleetSize {
  int servers = 100;
  int services = 4;      // request classes in all; the first four are of every kind
  int deduplicated = 1;  // of them, that have a route for each owner of a key shard
  int tenants = 2;
  int shard_digits = 3;
  int callers = 1000;
  int subsetting = 0;  // servers that a caller uses of each service; 0: the file says nothing of subsets
};

// Removed, with all that is in it, when this goes.
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

// Servers of one rack stand together, and the zones divide the racks evenly.
std::string server_name(int server);
std::string service_name(int service);

void write_fleet(const FleetSize& size, const std::filesystem::path& file);
// Written and read back. Throws settings::DocumentError where this version does not take so large a fleet.
fleet::Fleet generated_fleet(const FleetSize& size);
// With so many key shards, a power of 16; 65,536 are set past the file, which takes 16 to 4,096.
fleet::Fleet fleet_of_shards(FleetSize size, int shards);
// With so many services in all, those beyond the file's added past it as copies of the first one.
fleet::Fleet fleet_of_services(const FleetSize& size, int services);

}  // namespace myrtlecroft::capacity
