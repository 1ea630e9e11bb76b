// What control is worth: the same load and the same troubles, with control, with three instances of it that
// decide as one, and with even, static weights.
#include <cstdio>

#include "rehearsal.h"

int main() {
  using namespace myrtlecroft::measure;
  auto told = [](const char* what, const Figures& figures) {
    std::printf("%s: benefit %.3f, completed %d of %d\n%s\n", what, figures.priority_weight,
                figures.completed, figures.offered, figures.table.c_str());
  };
  Figures fixed = play({.instances = 0});
  told("even, static weights", fixed);
  Figures one = play({.instances = 1});
  told("with control", one);
  Figures three = play({.instances = 3});
  told("with three instances", three);
  auto wrong = [](const Figures& figures) {
    return figures.lost + figures.doubled + figures.drain_violations + figures.half_applied;
  };
  std::printf(
      "measured routing benefit_static=%.3f benefit_control=%.3f benefit_three=%.3f lost=%d doubled=%d "
      "drain_violations=%d half_applied=%d offered=%d completed_static=%d completed_control=%d "
      "completed_three=%d\n",
      fixed.priority_weight, one.priority_weight, three.priority_weight, one.lost + three.lost,
      one.doubled + three.doubled, one.drain_violations + three.drain_violations,
      one.half_applied + three.half_applied, one.offered, fixed.completed, one.completed, three.completed);
  return wrong(one) + wrong(three) == 0 && one.priority_weight > fixed.priority_weight &&
                 three.priority_weight > fixed.priority_weight
             ? 0
             : 1;
}
