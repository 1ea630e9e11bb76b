// Moves weight from servers under more pressure than the others to those under less, at a bounded speed.
//
// What a server admits stays its own decision: this only evens out what reaches it. Slow start and the
// forgiving of flaps go by the same clock. Called by ServerRegistry once a step. No I/O.
#pragma once

#include <vector>

#include "routing/server_states.h"

namespace myrtlecroft::routing {

// Out again within so many dwells of its return, a server flaps; calm for twice as many, one flap is
// forgiven.
constexpr Nanos kFlapDwells = 5;

class WeightAdjuster {
 public:
  explicit WeightAdjuster(Nanos now) : last_step_at_(now) {}

  // `frozen`: nothing is changed, but the time counts as passed.
  void step(std::vector<ServerStatus>& servers, const StateContext& context, bool frozen);

 private:
  Nanos last_step_at_;
};

}  // namespace myrtlecroft::routing
