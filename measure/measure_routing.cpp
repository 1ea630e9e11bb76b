// Measures the benefit of the control service: the same load and faults with one replica, with three replicas
// and with even, static weights.
#include <cstdio>

#include "rehearsal.h"

int main() {
  using namespace myrtlecroft::measure;
  auto print_result = [](const char* what, const RehearsalResult& result) {
    std::printf("%s: benefit %.3f, completed %d of %d\n%s\n", what, result.benefit, result.completed,
                result.offered, result.table.c_str());
  };
  RehearsalResult static_weights = play({.instances = 0});
  print_result("even, static weights", static_weights);
  RehearsalResult one_replica = play({.instances = 1});
  print_result("with control", one_replica);
  RehearsalResult three_replicas = play({.instances = 3});
  print_result("with three instances", three_replicas);
  auto count_violations = [](const RehearsalResult& result) {
    return result.lost_requests + result.duplicate_runs + result.drain_violations + result.half_applied;
  };
  std::printf(
      "measured routing benefit_static=%.3f benefit_control=%.3f benefit_three=%.3f lost=%d doubled=%d "
      "drain_violations=%d half_applied=%d offered=%d completed_static=%d completed_control=%d "
      "completed_three=%d\n",
      static_weights.benefit, one_replica.benefit, three_replicas.benefit,
      one_replica.lost_requests + three_replicas.lost_requests,
      one_replica.duplicate_runs + three_replicas.duplicate_runs,
      one_replica.drain_violations + three_replicas.drain_violations,
      one_replica.half_applied + three_replicas.half_applied, one_replica.offered, static_weights.completed,
      one_replica.completed, three_replicas.completed);
  return count_violations(one_replica) + count_violations(three_replicas) == 0 &&
                 one_replica.benefit > static_weights.benefit &&
                 three_replicas.benefit > static_weights.benefit
             ? 0
             : 1;
}
