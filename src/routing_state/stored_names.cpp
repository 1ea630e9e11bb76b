// The tables of stored names, each in the order of its enumeration.
#include "routing_state/stored_names.h"

#include <array>

namespace myrtlecroft::routing_state {
namespace {

constexpr std::array<const char*, routing::kServerStateCount> kServerStates = {
    "presumed",  // kAssumedHealthy
    "ramping",   // kSlowStart
    "serving",   // kServing
    "leaving",   // kDraining
    "sick",      // kUnhealthy
    "mute",      // kUnresponsive
    "silent",    // kLost
};
constexpr std::array<const char*, 3> kViews = {"restoring", "clear", "isolated"};
constexpr std::array<const char*, 3> kHealths = {"healthy", "draining", "out"};

// Returns the enumerator with this name, or `default_value` if the table does not have the name.
template <class Enum, std::size_t count>
Enum enumerator_named(const std::array<const char*, count>& names, std::string_view name,
                      Enum default_value) {
  for (std::size_t at = 0; at < count; ++at) {
    if (name == names[at]) return static_cast<Enum>(at);
  }
  return default_value;
}

}  // namespace

const char* stored_name(routing::ServerState state) { return kServerStates[static_cast<std::size_t>(state)]; }

const char* stored_name(routing::ConnectivityState view) { return kViews[static_cast<std::size_t>(view)]; }

const char* stored_name(routing::Health health) { return kHealths[static_cast<std::size_t>(health)]; }

routing::ServerState server_state_named(std::string_view name) {
  return enumerator_named(kServerStates, name, routing::ServerState::kLost);
}

routing::Health health_named(std::string_view name) {
  return enumerator_named(kHealths, name, routing::Health::kOutOfRotation);
}

}  // namespace myrtlecroft::routing_state
