#include "capacity/real_callers.h"

#include <chrono>
#include <set>
#include <tuple>

namespace myrtlecroft::capacity {
namespace {

constexpr std::string_view kServerClusterPrefix = "node/";
constexpr int kConnectTimeoutMs = 20'000;  // the default of gRPC clients

}  // namespace

std::int64_t steady_ns() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

void HollowCallers::add(const hollow::Command::AddCallers& command) {
  for (std::uint32_t i = 0; i < command.count(); ++i) add_caller(static_cast<int>(command.first() + i));
}

// With subsetting a caller subscribes to the services that it uses by name, otherwise to all of them. Half of
// the callers use the delta variant of the protocol, the others state of the world.
void HollowCallers::add_caller(int number) {
  std::vector<std::string> services;
  if (plan_.uses_subsetting()) {
    for (int service : choices_.services_of(number)) services.push_back(name_of_service(service));
  }
  bool delta = number % 2 == 0;
  auto applied = [this, number](const standin::AppliedSet& set) {
    change_tracker_.record_applied_set(static_cast<std::uint32_t>(number), set, steady_ns());
  };
  links_.push_back(std::make_unique<standin::AdsLink>(target_, delta, name_of_caller(number), applied,
                                                      parsed_resources_, std::move(services),
                                                      kConnectTimeoutMs));
}

void HollowCallers::expect(const hollow::Command::Expect& command) {
  change_tracker_.expect({command.servers().begin(), command.servers().end()}, command.present());
}

void HollowCallers::fill_answer(hollow::Answer& answer, bool complete) const {
  ChangeTracker::Progress progress = change_tracker_.progress();
  answer.set_touched(progress.touched);
  answer.set_in_force(progress.in_force);
  answer.set_callers(static_cast<std::uint32_t>(links_.size()));
  for (const auto& link : links_) {
    if (link->applied()) answer.set_callers_applied(answer.callers_applied() + 1);
    answer.set_bytes_in(answer.bytes_in() + link->bytes_in());
    if (link->half_applied() == 0) continue;
    answer.set_half_applied(answer.half_applied() + static_cast<std::uint32_t>(link->half_applied()));
    answer.set_half_applied_last(link->half_applied_last());
  }
  if (!complete) return;
  for (std::int64_t at : change_tracker_.in_force_at_ns()) answer.add_in_force_at_ns(at);
  answer.set_stale(change_tracker_.stale());
  answer.set_endpoints_held(change_tracker_.endpoints_held());
  for (std::uint32_t server : change_tracker_.servers_of_first()) answer.add_servers_of_first(server);
}

// Lists each combination of route, key pattern and owner in the callers' routes once.
void HollowCallers::list_owners(hollow::Answer& answer) const {
  std::set<std::tuple<std::string, std::string, std::string>> owners;
  std::set<std::shared_ptr<const standin::AppliedSet::Routes>> seen;  // many callers share one route table
  for (const auto& link : links_) {
    auto set = link->applied();
    if (!set || !seen.insert(set->routes).second) continue;
    for (const auto& host : set->routes->virtual_hosts()) {
      for (const auto& route : host.routes()) {
        const std::string& cluster = route.route().cluster();
        if (route.match().headers_size() == 0 || !cluster.starts_with(kServerClusterPrefix)) continue;
        owners.emplace(route.name().substr(0, route.name().find('/')),
                       route.match().headers(0).safe_regex_match().regex(), cluster);
      }
    }
  }
  for (const auto& [route, pattern, owner] : owners) {
    hollow::ShardOwner& row = *answer.add_owners();
    row.set_route(route);
    row.set_pattern(pattern);
    row.set_owner(owner);
  }
}

}  // namespace myrtlecroft::capacity
