#include "capacity/change_watch.h"

#include <algorithm>
#include <iterator>
#include <string_view>

#include "capacity/real_fleet.h"

namespace myrtlecroft::capacity {
namespace {

// Only clusters of request classes show whether a server receives requests. A
// server's own cluster always keeps its endpoint.
constexpr std::string_view kRequestClassClusterPrefix = "group/";
constexpr std::size_t kMinSizeToPrune = 1000;

// Binary search, since `few` may be much shorter than `many`.
ServerSet intersection(const ServerSet& many, const ServerSet& few) {
  ServerSet out;
  std::copy_if(few.begin(), few.end(), std::back_inserter(out),
               [&](std::uint32_t one) { return std::binary_search(many.begin(), many.end(), one); });
  return out;
}

ServerSet union_of(const ServerSet& one, const ServerSet& other) {
  ServerSet out;
  std::set_union(one.begin(), one.end(), other.begin(), other.end(), std::back_inserter(out));
  return out;
}

}  // namespace

std::shared_ptr<const ServerSet> ChangeTracker::servers_in(
    const std::shared_ptr<const standin::AppliedSet::Endpoints>& body) {
  ParsedEndpoints& entry = parsed_[body.get()];
  // The address may have been reused by another resource.
  if (entry.servers && entry.body.lock() == body) return entry.servers;
  auto servers = std::make_shared<ServerSet>();
  for (const auto& endpoint_group : body->endpoints())
    servers->push_back(static_cast<std::uint32_t>(parse_server_number(endpoint_group.locality().sub_zone())));
  std::sort(servers->begin(), servers->end());
  entry = {body, servers};
  if (parsed_.size() > prune_at_size_) {
    std::erase_if(parsed_, [](const auto& one) { return one.second.body.expired(); });
    prune_at_size_ = std::max(kMinSizeToPrune, 2 * parsed_.size());
  }
  return servers;
}

void ChangeTracker::record_applied_set(std::uint32_t number, const standin::AppliedSet& set,
                                       std::int64_t now_ns) {
  std::lock_guard lock(mutex_);
  Caller& caller = callers_[number];
  caller.clusters.clear();
  for (const auto& [name, body] : set.endpoints) {
    if (name.starts_with(kRequestClassClusterPrefix)) caller.clusters.push_back(servers_in(body));
  }
  if (!caller.touched || caller.in_force_at_ns != 0 || !matches_expectation(caller)) return;
  caller.in_force_at_ns = now_ns;
  ++progress_.in_force;
}

void ChangeTracker::expect(ServerSet servers, bool present) {
  std::lock_guard lock(mutex_);
  std::sort(servers.begin(), servers.end());
  expected_ = std::move(servers);
  present_ = present;
  progress_ = {};
  for (auto& [number, caller] : callers_) {
    if (!present) {
      caller.lost.clear();
      for (const auto& cluster : caller.clusters)
        caller.lost = union_of(caller.lost, intersection(*cluster, expected_));
    }
    caller.touched = !expected_servers_of(caller).empty();
    caller.in_force_at_ns = 0;
    progress_.touched += caller.touched;
  }
}

ServerSet ChangeTracker::expected_servers_of(const Caller& caller) const {
  return intersection(caller.lost, expected_);
}

bool ChangeTracker::matches_expectation(const Caller& caller) const {
  ServerSet current;
  for (const auto& cluster : caller.clusters) current = union_of(current, intersection(*cluster, expected_));
  if (!present_) return current.empty();
  ServerSet expected = expected_servers_of(caller);
  return std::includes(current.begin(), current.end(), expected.begin(), expected.end());
}

ChangeTracker::Progress ChangeTracker::progress() const {
  std::lock_guard lock(mutex_);
  return progress_;
}

std::vector<std::int64_t> ChangeTracker::in_force_at_ns() const {
  std::lock_guard lock(mutex_);
  std::vector<std::int64_t> out;
  for (const auto& [number, caller] : callers_) {
    if (caller.touched && caller.in_force_at_ns != 0) out.push_back(caller.in_force_at_ns);
  }
  return out;
}

std::uint32_t ChangeTracker::stale() const {
  std::lock_guard lock(mutex_);
  auto out = std::count_if(callers_.begin(), callers_.end(),
                           [this](const auto& one) { return !matches_expectation(one.second); });
  return static_cast<std::uint32_t>(out);
}

std::uint64_t ChangeTracker::endpoints_held() const {
  std::lock_guard lock(mutex_);
  std::uint64_t out = 0;
  for (const auto& [number, caller] : callers_) {
    for (const auto& cluster : caller.clusters) out += cluster->size();
  }
  return out;
}

ServerSet ChangeTracker::servers_of_first() const {
  std::lock_guard lock(mutex_);
  ServerSet out;
  if (callers_.empty()) return out;
  for (const auto& cluster : callers_.begin()->second.clusters) out = union_of(out, *cluster);
  return out;
}

}  // namespace myrtlecroft::capacity
