// A demonstration: four servers, their engines, a database, control and two proxies on this machine; one
// server's engine falls silent.
#include <cstdio>

#include "rehearsal.h"

int main() {
  using namespace myrtlecroft::measure;
  std::printf("four nodes, two proxies, about 20 s; n3's engine will take work and answer none\n");
  Figures figures = play({.short_one = true, .per_second = 220});
  std::printf("%s\ncompleted %d of %d, benefit %.3f; lost %d, run twice %d\n", figures.table.c_str(),
              figures.completed, figures.offered, figures.priority_weight, figures.lost, figures.doubled);
  return figures.lost == 0 && figures.doubled == 0 ? 0 : 1;
}
