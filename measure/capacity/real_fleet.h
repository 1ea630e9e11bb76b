// The fleet that a capacity measurement generates: which servers serve which service, and which services a
// caller uses. The same seed gives the same fleet in every process that asks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlecroft::capacity {

struct FleetPlan {
  int servers = 6100;
  int callers = 10'000;  // that control is told to expect
  int services = 4;      // request classes
  int subset_size = 0;   // of a caller's servers in a service; 0: every server serves every service, to all
  int zones = 16;
  int servers_of_service = 200;  // with subsets
  int services_of_caller = 8;    // with subsets
  int deduplicated_every = 0;    // each so-manieth service has keys with owners; 0: none
  unsigned seed = 7;

  bool subsetting() const { return subset_size > 0; }
};

constexpr const char* kListener = "fleet";  // without subsets all services are under one name

std::string name_of_server(int number);
// 0 where it is no server's name.
int number_of_server(const std::string& name);
std::string name_of_caller(int number);
std::string name_of_service(int number);
// Where the fleet file says that it listens. Nobody does.
std::string address_of_server(int number);
// From 1, by turns.
int zone_of_server(const FleetPlan& plan, int number);
// The first so many servers of the first zone: a rack of it, or all of it.
std::vector<std::uint32_t> servers_of_first_zone(const FleetPlan& plan, int max);

// Each service's servers and each caller's services.
class FleetChoices {
 public:
  explicit FleetChoices(const FleetPlan& plan);
  // Sorted. Without subsets: all of them.
  std::vector<int> servers_of(int service) const;
  // Popular services are used by many callers: the weight of the k-th is 1/k.
  std::vector<int> services_of(int caller) const;

 private:
  FleetPlan plan_;
  std::vector<double> weights_;  // of services
};

// What `myrtlecroft-control` reads.
std::string fleet_file(const FleetPlan& plan);

}  // namespace myrtlecroft::capacity
