// Limits how much of the fleet is out of rotation at once because of faults, however many servers seem
// faulty.
//
// Evidence of a fault can be wrong, and the remaining servers would be overloaded. Drawback: each request
// sent to a dead server that is kept in rotation loses an attempt. Called by ServerRegistry within a step. No
// I/O.
#pragma once

#include <vector>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

// Tracks the capacity that is out of rotation.
class PanicThreshold {
 public:
  // Recomputes the sums; called once in each step, so that rounding errors don't accumulate.
  void recount(const std::vector<ServerStatus>& servers);
  // Call remove() before and add() after each change of a server's state or its kept_in_rotation.
  void remove(const ServerStatus& server) { out_ -= capacity_out(server); }
  void add(const ServerStatus& server) { out_ += capacity_out(server); }
  // Whether a server that is not counted, after remove(), may be out in addition to the counted ones.
  // `max_unavailable`: share of the fleet's capacity.
  bool may_be_out(const ServerStatus& server, double max_unavailable) const;

 private:
  // Returns the server's capacity if it is out because of a fault or for maintenance, else 0.
  static double capacity_out(const ServerStatus& server) {
    bool out = server.out_for_maintenance || (has_failed(server.state) && !server.kept_in_rotation);
    return out ? server.node.capacity : 0;
  }

  double capacity_ = 0;  // of all servers
  double out_ = 0;       // of the servers that are out
};

}  // namespace myrtlecroft::routing
