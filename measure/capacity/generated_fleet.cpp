#include "generated_fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

#include "fleet/fleet_file.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kServersPerService = 40;  // with subsetting

// Addresses start at 10.0.0.1, with 250 servers in each /24 network.
std::string server_address(int server) {
  return "10." + std::to_string(server / 62'500) + "." + std::to_string(server / 250 % 250) + "." +
         std::to_string(server % 250 + 1) + ":4100";
}

void write_servers(const FleetSize& size, std::ofstream& out) {
  out << "nodes = (\n";
  for (int server = 0; server < size.servers; ++server) {
    int zone = static_cast<int>(std::int64_t{server} * kZones / size.servers);
    out << (server ? ",\n" : "") << "  { name = \"" << server_name(server) << "\"; zone = \"z" << zone
        << "\"; address = \"" << server_address(server) << "\"; capacity = 8; }";
  }
  out << "\n);\n";
}

const char* service_kind(const FleetSize& size, int service) {
  if (service >= 1 && service <= size.deduplicated_services) return "deduplicated";
  return service == size.deduplicated_services + 1 ? "mutating" : "repeatable";
}

// Services with adjacent numbers share most of their servers, and every
// server has about the same number of services.
void write_servers_of_service(const FleetSize& size, int service, std::ofstream& out) {
  const std::int64_t first = std::int64_t{service} * size.servers / size.services;
  const int count = std::min(kServersPerService, size.servers);
  out << " servers = (";
  for (int i = 0; i < count; ++i) {
    out << (i ? ", " : "") << '"' << server_name(static_cast<int>((first + i) % size.servers)) << '"';
  }
  out << ");";
}

void write_services(const FleetSize& size, std::ofstream& out) {
  out << "groups = (\n";
  for (int service = 0; service < size.services; ++service) {
    std::string kind = service_kind(size, service);
    out << (service ? ",\n" : "") << "  { name = \"" << service_name(service) << "\"; repeats = \"" << kind
        << "\"; slo_ms = 250; timeout_ms = 500;";
    if (kind == "deduplicated") out << " window_ms = 1000;";
    if (size.subset_size > 0 && kind != "deduplicated") write_servers_of_service(size, service, out);
    out << " }";
  }
  out << "\n);\n";
}

void write_tenants(const FleetSize& size, std::ofstream& out) {
  out << "customers = (\n";
  for (int tenant = 0; tenant < size.tenants; ++tenant) {
    out << (tenant ? ",\n" : "") << "  { name = \"tenant-" << tenant << "\"; share = " << 0.9 / size.tenants
        << "; }";
  }
  out << "\n);\n";
}

}  // namespace

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "capacity-XXXXXX").string();
  if (!mkdtemp(pattern.data())) throw std::runtime_error("can't create a temporary folder: " + pattern);
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string server_name(int server) {
  char out[32];
  std::snprintf(out, sizeof out, "r%03d-s%02d", server / kServersPerRack, server % kServersPerRack);
  return out;
}

std::string service_name(int service) { return "svc-" + std::to_string(service); }

// Without dwell and ramp a server that left returns in one step and can leave again at once.
void write_fleet(const FleetSize& size, const std::filesystem::path& file) {
  std::ofstream out(file);
  out << std::fixed;
  out.precision(9);
  out << "version = 1;\nlistener = \"capacity\";\nproxies = " << size.callers << ";\n";
  write_servers(size, out);
  write_services(size, out);
  write_tenants(size, out);
  out << "bounds = { dwell_ms = 0; ramp_ms = 0; settle_ms = 10; shard_digits = " << size.shard_digits
      << "; };\n";
  if (size.subset_size > 0) out << "subsetting = { size = " << size.subset_size << "; };\n";
  if (!out.flush()) throw std::runtime_error("can't write " + file.string());
}

fleet::Fleet generate_fleet(const FleetSize& size) {
  TemporaryFolder folder;
  std::filesystem::path file = folder.path() / "fleet.conf";
  write_fleet(size, file);
  return fleet::read_fleet(file.string());
}

fleet::Fleet generate_fleet_with_shards(FleetSize size, int shards) {
  int digits = 0;
  for (int count = 1; count < shards; count *= 16) ++digits;
  size.shard_digits = std::min(digits, 3);
  fleet::Fleet out = generate_fleet(size);
  out.bounds.shard_digits = digits;
  return out;
}

fleet::Fleet generate_fleet_with_services(const FleetSize& size, int services) {
  fleet::Fleet out = generate_fleet(size);
  for (int service = size.services; service < services; ++service) {
    fleet::RequestClass request_class = out.request_classes.front();
    request_class.name = service_name(service);
    request_class.path = "/api/v2/" + request_class.name;
    out.request_classes.push_back(std::move(request_class));
  }
  return out;
}

}  // namespace myrtlecroft::capacity
