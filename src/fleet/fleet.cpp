// Queries on a fleet description.
#include "fleet/fleet.h"

#include <algorithm>

namespace myrtlecroft::fleet {

const Node* Fleet::node(const std::string& name) const {
  auto found = std::find_if(nodes.begin(), nodes.end(), [&](const Node& one) { return one.name == name; });
  return found == nodes.end() ? nullptr : &*found;
}

Nanos Fleet::longest_deduplication_window() const {
  Nanos longest = 0;
  for (const RequestClass& request_class : request_classes) {
    if (request_class.idempotency != Idempotency::kKeyed) continue;
    longest = std::max(longest, request_class.deduplication_window + request_class.client_timeout);
  }
  return longest;
}

}  // namespace myrtlecroft::fleet
