// Bounds how much of the fleet is out of rotation at once for faults, however many servers seem faulty.
//
// Evidence can be wrong, and the remaining servers would be overloaded. Harm: what is kept in rotation though
// it is dead costs each request sent there an attempt. Called by ServerRegistry within a step. No I/O.
#pragma once

#include <vector>

#include "routing/server_status.h"

namespace myrtlecroft::routing {

class PanicThreshold {
 public:
  // Counts anew. Once a step, so that no rounding adds up.
  void recount(const std::vector<ServerStatus>& servers);
  // Around each change of a server's state or of its being kept in rotation.
  void remove(const ServerStatus& server) { out_ -= capacity_out(server); }
  void add(const ServerStatus& server) { out_ += capacity_out(server); }
  // Whether a server that is not counted (remove()) may be out besides those that are.
  bool may_be_out(const ServerStatus& server, double max_unavailable) const;

 private:
  // Of a server's capacity, what counts as out for a fault or for maintenance.
  static double capacity_out(const ServerStatus& server) {
    bool out = server.out_for_maintenance || (has_failed(server.state) && !server.kept_in_rotation);
    return out ? server.node.capacity : 0;
  }

  double capacity_ = 0;  // of all servers
  double out_ = 0;       // of those that are out
};

}  // namespace myrtlecroft::routing
