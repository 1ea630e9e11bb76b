#include "capacity/real_fleet.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <sstream>

namespace myrtlecroft::capacity {
namespace {

// Keeps the seeds of services distinct from those of callers.
constexpr unsigned kServiceSeedOffset = 1u << 24;
constexpr int kServersPerAddress = 250;
constexpr int kFirstPort = 20'000;

// Draws `count` distinct numbers from 1 to `all`, in ascending order.
std::vector<int> draw_distinct(int count, int all, unsigned seed) {
  std::vector<int> out(static_cast<std::size_t>(all));
  std::iota(out.begin(), out.end(), 1);
  if (count >= all) return out;
  std::mt19937 random(seed);
  for (int i = 0; i < count; ++i) {
    std::uniform_int_distribution<int> remaining(i, all - 1);
    std::swap(out[static_cast<std::size_t>(i)], out[static_cast<std::size_t>(remaining(random))]);
  }
  out.resize(static_cast<std::size_t>(count));
  std::sort(out.begin(), out.end());
  return out;
}

void write_request_class(std::ostream& out, const FleetPlan& plan, const FleetChoices& choices, int service) {
  bool deduplicated = plan.deduplicated_every > 0 && service % plan.deduplicated_every == 0;
  out << "{ name = \"" << name_of_service(service) << "\"; timeout_ms = 2000; repeats = "
      << (deduplicated ? "\"deduplicated\"; window_ms = 10000;" : "\"repeatable\";");
  // All servers of the fleet own keys of a deduplicated service.
  if (plan.uses_subsetting() && !deduplicated) {
    out << " servers = (";
    const char* separator = "";
    for (int server : choices.servers_of(service)) {
      out << separator << '"' << name_of_server(server) << '"';
      separator = ", ";
    }
    out << ");";
  }
  out << " }";
}

}  // namespace

std::string name_of_server(int number) { return "n" + std::to_string(number); }
std::string name_of_caller(int number) { return "c" + std::to_string(number); }
std::string name_of_service(int number) { return "s" + std::to_string(number); }

int parse_server_number(const std::string& name) {
  if (name.size() < 2 || name[0] != 'n') return 0;
  bool digits = std::all_of(name.begin() + 1, name.end(), [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::atoi(name.c_str() + 1) : 0;
}

std::string address_of_server(int number) {
  return "127.0.0." + std::to_string(2 + number / kServersPerAddress) + ":" +
         std::to_string(kFirstPort + number);
}

int zone_of_server(const FleetPlan& plan, int number) { return 1 + (number - 1) % plan.zones; }

std::vector<std::uint32_t> servers_of_first_zone(const FleetPlan& plan, int max) {
  std::vector<std::uint32_t> out;
  for (int server = 1; server <= plan.servers && static_cast<int>(out.size()) < max; server += plan.zones)
    out.push_back(static_cast<std::uint32_t>(server));
  return out;
}

FleetChoices::FleetChoices(const FleetPlan& plan) : plan_(plan) {
  for (int service = 1; service <= plan.services; ++service) weights_.push_back(1.0 / service);
}

std::vector<int> FleetChoices::servers_of(int service) const {
  int count = plan_.uses_subsetting() ? plan_.servers_of_service : plan_.servers;
  return draw_distinct(count, plan_.servers,
                       plan_.seed + kServiceSeedOffset + static_cast<unsigned>(service));
}

std::vector<int> FleetChoices::services_of(int caller) const {
  std::set<int> chosen;
  std::mt19937 random(plan_.seed + static_cast<unsigned>(caller));
  std::discrete_distribution<int> by_popularity(weights_.begin(), weights_.end());
  auto chosen_count = static_cast<std::size_t>(std::min(plan_.services_of_caller, plan_.services));
  while (chosen.size() < chosen_count) chosen.insert(1 + by_popularity(random));
  return {chosen.begin(), chosen.end()};
}

std::string fleet_file(const FleetPlan& plan) {
  FleetChoices choices(plan);
  std::ostringstream out;
  out << "version = 1; listener = \"" << kListener << "\"; proxies = " << plan.callers << ";\n";
  if (plan.uses_subsetting()) out << "subsetting = { size = " << plan.subset_size << "; };\n";
  out << "nodes = (\n";
  for (int server = 1; server <= plan.servers; ++server) {
    out << (server > 1 ? ",\n" : "") << "{ name = \"" << name_of_server(server) << "\"; zone = \"z"
        << zone_of_server(plan, server) << "\"; address = \"" << address_of_server(server) << "\"; }";
  }
  out << ");\ngroups = (\n";
  for (int service = 1; service <= plan.services; ++service) {
    if (service > 1) out << ",\n";
    write_request_class(out, plan, choices, service);
  }
  // A server may return at once and with its full weight, so that each change takes one publication.
  out << ");\nbounds = { dwell_ms = 0; ramp_ms = 0; settle_ms = 20; };\n";
  return out.str();
}

}  // namespace myrtlecroft::capacity
