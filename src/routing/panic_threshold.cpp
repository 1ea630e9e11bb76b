// Sums the capacity out of rotation.
#include "routing/panic_threshold.h"

namespace myrtlecroft::routing {
namespace {

constexpr double kRoundingTolerance = 1e-9;  // tolerance for rounding errors in a sum of capacities

}  // namespace

void PanicThreshold::recount(const std::vector<ServerStatus>& servers) {
  capacity_ = 0;
  out_ = 0;
  for (const ServerStatus& server : servers) {
    capacity_ += server.node.capacity;
    add(server);
  }
}

bool PanicThreshold::may_be_out(const ServerStatus& server, double max_unavailable) const {
  return out_ + server.node.capacity <= max_unavailable * capacity_ + kRoundingTolerance;
}

}  // namespace myrtlecroft::routing
