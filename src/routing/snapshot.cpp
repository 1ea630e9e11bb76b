#include "routing/snapshot.h"

#include <algorithm>
#include <functional>
#include <set>

namespace myrtlecroft::routing {
namespace {

// What makes a group's servers unfit, as one line; empty when nothing does.
std::string fault_of_servers(const GroupRoute& group, std::size_t nodes) {
  if (group.effect == Effect::kDeduplicated && (!group.servers.all() || group.subset_size > 0)) {
    return "group " + group.name + " has owners and servers of its own";
  }
  if (group.servers.all()) return "";
  const fleet::ServerList::Places& places = *group.servers.places;
  if (places.empty()) return "group " + group.name + " runs nowhere";
  bool ascending = std::adjacent_find(places.begin(), places.end(), std::greater_equal<>()) == places.end();
  if (!ascending || places.back() >= nodes) return "group " + group.name + " runs on no known node";
  return "";
}

}  // namespace

const char* name_of(Health health) {
  constexpr const char* names[] = {"healthy", "draining", "out"};
  return names[static_cast<std::size_t>(health)];
}

std::string fault_of(const Snapshot& snapshot) {
  if (snapshot.listener.empty()) return "no listener";
  if (snapshot.groups.empty()) return "no endpoint group";
  std::set<std::string> names;
  bool healthy = false;
  for (const NodeRoute& node : snapshot.nodes) {
    if (!names.insert(node.name).second) return "node " + node.name + " stands in it twice";
    if (node.host.empty() || node.port == 0) return "node " + node.name + " has no address";
    if (node.health == Health::kHealthy && node.weight == 0) return "node " + node.name + " has no weight";
    healthy = healthy || node.health == Health::kHealthy;
  }
  if (!healthy) return "no node is healthy";
  for (const GroupRoute& group : snapshot.groups) {
    if (!names.insert("group " + group.name).second) return "group " + group.name + " stands in it twice";
    if (std::string fault = fault_of_servers(group, snapshot.nodes.size()); !fault.empty()) return fault;
    if (snapshot.service_listeners && group.name == snapshot.listener) {
      return "group " + group.name + " has the listener's name";
    }
    if (group.timeout <= 0) return "group " + group.name + " has no time limit";
    const RepeatRule& rule = group.repeats;
    bool may_have_run = std::any_of(rule.on.begin(), rule.on.end(), [](RepeatOn on) {
      return on == RepeatOn::kReset || on == RepeatOn::kLate;
    });
    if (may_have_run && group.effect != Effect::kRepeatable) {
      return "group " + group.name + " would repeat what may have run";
    }
    if (group.effect == Effect::kDeduplicated && !rule.same_node && rule.retries > 0) {
      return "group " + group.name + " would repeat at another node";
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
