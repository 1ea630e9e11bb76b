// The fleet that a capacity measurement generates: the servers of each service and the services that each
// caller uses. The same seed gives the same fleet in every process.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlecroft::capacity {

struct FleetPlan {
  int servers = 6100;
  int callers = 10'000;  // number of callers in the fleet file
  int services = 4;      // request classes
  int subset_size =
      0;  // servers of a service in a caller's subset; 0: no subsetting, every server has every service
  int zones = 16;
  int servers_of_service = 200;  // with subsetting
  int services_of_caller = 8;    // with subsetting
  int deduplicated_every = 0;    // every Nth service is deduplicated; 0: none
  unsigned seed = 7;

  bool uses_subsetting() const { return subset_size > 0; }
};

constexpr const char* kListener = "fleet";  // without subsetting all services share one listener

std::string name_of_server(int number);
// Returns 0 when `name` is not a server's name.
int parse_server_number(const std::string& name);
std::string name_of_caller(int number);
std::string name_of_service(int number);
// The server's address in the fleet file. Nothing listens on it.
std::string address_of_server(int number);
// Zones count from 1; consecutive servers are in consecutive zones.
int zone_of_server(const FleetPlan& plan, int number);
// Returns up to `max` servers of the first zone, lowest numbers first: one rack of it, or all of it.
std::vector<std::uint32_t> servers_of_first_zone(const FleetPlan& plan, int max);

// Chooses the servers of each service and the services of each caller, from the plan's seed.
class FleetChoices {
 public:
  explicit FleetChoices(const FleetPlan& plan);
  // In ascending order; all servers without subsetting.
  std::vector<int> servers_of(int service) const;
  // Chosen by popularity: the k-th service has the weight 1/k. In ascending order.
  std::vector<int> services_of(int caller) const;

 private:
  FleetPlan plan_;
  std::vector<double> weights_;  // popularity of each service
};

// Text of the fleet file for `myrtlecroft-control`.
std::string fleet_file(const FleetPlan& plan);

}  // namespace myrtlecroft::capacity
