#include "capacity/change_watch.h"

#include <algorithm>
#include <iterator>
#include <string_view>

#include "capacity/real_fleet.h"

namespace myrtlecroft::capacity {
namespace {

// Only clusters of request classes show whether a server receives requests. A server's own cluster always keeps
// its endpoint.
constexpr std::string_view kGroupClusters = "group/";
constexpr std::size_t kMinPrune = 1000;

// Binary search, since `few` may be much shorter than `many`.
ServerSet common(const ServerSet& many, const ServerSet& few) {
  ServerSet out;
  std::copy_if(few.begin(), few.end(), std::back_inserter(out),
               [&](std::uint32_t one) { return std::binary_search(many.begin(), many.end(), one); });
  return out;
}

ServerSet joined(const ServerSet& one, const ServerSet& other) {
  ServerSet out;
  std::set_union(one.begin(), one.end(), other.begin(), other.end(), std::back_inserter(out));
  return out;
}

}  // namespace

std::shared_ptr<const ServerSet> ChangeTracker::servers_in(
    const std::shared_ptr<const standin::AppliedSet::Endpoints>& body) {
  Known& known = known_[body.get()];
  // The address may have been reused by another resource.
  if (known.servers && known.body.lock() == body) return known.servers;
  auto servers = std::make_shared<ServerSet>();
  for (const auto& place : body->endpoints())
    servers->push_back(static_cast<std::uint32_t>(number_of_server(place.locality().sub_zone())));
  std::sort(servers->begin(), servers->end());
  known = {body, servers};
  if (known_.size() > prune_at_) {
    std::erase_if(known_, [](const auto& one) { return one.second.body.expired(); });
    prune_at_ = std::max(kMinPrune, 2 * known_.size());
  }
  return servers;
}

void ChangeTracker::applied(std::uint32_t number, const standin::AppliedSet& set, std::int64_t now_ns) {
  std::lock_guard lock(mutex_);
  Caller& caller = callers_[number];
  caller.clusters.clear();
  for (const auto& [name, body] : set.endpoints) {
    if (name.starts_with(kGroupClusters)) caller.clusters.push_back(servers_in(body));
  }
  if (!caller.touched || caller.in_force_at_ns != 0 || !as_expected(caller)) return;
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
        caller.lost = joined(caller.lost, common(*cluster, expected_));
    }
    caller.touched = !expected_of(caller).empty();
    caller.in_force_at_ns = 0;
    progress_.touched += caller.touched;
  }
}

ServerSet ChangeTracker::expected_of(const Caller& caller) const { return common(caller.lost, expected_); }

bool ChangeTracker::as_expected(const Caller& caller) const {
  ServerSet has;
  for (const auto& cluster : caller.clusters) has = joined(has, common(*cluster, expected_));
  if (!present_) return has.empty();
  ServerSet wanted = expected_of(caller);
  return std::includes(has.begin(), has.end(), wanted.begin(), wanted.end());
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
                           [this](const auto& one) { return !as_expected(one.second); });
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
  for (const auto& cluster : callers_.begin()->second.clusters) out = joined(out, *cluster);
  return out;
}

}  // namespace myrtlecroft::capacity
