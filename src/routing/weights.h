// Moves weight at a limited rate from servers under high pressure to servers under lower pressure.
//
// Each server still decides which requests it admits; weights only balance the load that reaches the servers.
// Also advances slow start and reduces flap counts over time. Called by ServerRegistry once in each step. No
// I/O.
#pragma once

#include <vector>

#include "routing/server_states.h"

namespace myrtlecroft::routing {

// In multiples of Bounds::min_time_out_of_rotation: a failure within this time after a return counts as a
// flap, and twice this time without a failure removes one flap.
constexpr Nanos kFlapWindowMultiplier = 5;

// Adjusts ServerStatus::weight, slow_start_factor and flaps.
class WeightAdjuster {
 public:
  explicit WeightAdjuster(Nanos now) : last_step_at_(now) {}

  // `frozen`: leaves all servers unchanged, but still counts the time as elapsed.
  void step(std::vector<ServerStatus>& servers, const StateContext& context, bool frozen);

 private:
  Nanos last_step_at_;
};

}  // namespace myrtlecroft::routing
