#include "routing/snapshot.h"

#include <algorithm>
#include <functional>
#include <set>

namespace myrtlecroft::routing {
namespace {

// What makes a group's servers unfit, as one line; empty when nothing does.
std::string fault_of_servers(const RequestClassRoute& request_class, std::size_t nodes) {
  if (request_class.idempotency == Idempotency::kKeyed &&
      (!request_class.servers.all() || request_class.subset_size > 0)) {
    return "group " + request_class.name + " has owners and servers of its own";
  }
  if (request_class.servers.all()) return "";
  const fleet::ServerList::Places& places = *request_class.servers.places;
  if (places.empty()) return "group " + request_class.name + " runs nowhere";
  bool ascending = std::adjacent_find(places.begin(), places.end(), std::greater_equal<>()) == places.end();
  if (!ascending || places.back() >= nodes) return "group " + request_class.name + " runs on no known node";
  return "";
}

}  // namespace

const char* name_of(Health health) {
  constexpr const char* names[] = {"healthy", "draining", "out"};
  return names[static_cast<std::size_t>(health)];
}

std::string fault_of(const Snapshot& snapshot) {
  if (snapshot.listener.empty()) return "no listener";
  if (snapshot.request_classes.empty()) return "no endpoint group";
  std::set<std::string> names;
  bool healthy = false;
  for (const NodeRoute& node : snapshot.nodes) {
    if (!names.insert(node.name).second) return "node " + node.name + " stands in it twice";
    if (node.host.empty() || node.port == 0) return "node " + node.name + " has no address";
    if (node.health == Health::kHealthy && node.weight == 0) return "node " + node.name + " has no weight";
    healthy = healthy || node.health == Health::kHealthy;
  }
  if (!healthy) return "no node is healthy";
  for (const RequestClassRoute& request_class : snapshot.request_classes) {
    if (!names.insert("group " + request_class.name).second)
      return "group " + request_class.name + " stands in it twice";
    if (std::string fault = fault_of_servers(request_class, snapshot.nodes.size()); !fault.empty())
      return fault;
    if (snapshot.service_listeners && request_class.name == snapshot.listener) {
      return "group " + request_class.name + " has the listener's name";
    }
    if (request_class.timeout <= 0) return "group " + request_class.name + " has no time limit";
    const RetryPolicy& rule = request_class.retry_policy;
    bool may_have_run = std::any_of(rule.on.begin(), rule.on.end(),
                                    [](RetryOn on) { return on == RetryOn::kReset || on == RetryOn::kLate; });
    if (may_have_run && request_class.idempotency != Idempotency::kIdempotent) {
      return "group " + request_class.name + " would repeat what may have run";
    }
    if (request_class.idempotency == Idempotency::kKeyed && !rule.same_node && rule.retries > 0) {
      return "group " + request_class.name + " would repeat at another node";
    }
  }
  if (snapshot.shards.size() != std::size_t{1} << (4 * snapshot.shard_digits)) return "shards are missing";
  for (int owner : snapshot.shards) {
    if (owner == kClosed) continue;
    if (owner < 0 || static_cast<std::size_t>(owner) >= snapshot.nodes.size()) return "a shard has no node";
  }
  return "";
}

}  // namespace myrtlecroft::routing
