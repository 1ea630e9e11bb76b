// Demonstration on this machine: four servers with stand-in engines and a database, the control service and
// two proxies. The engine of one server stops answering.
#include <cstdio>

#include "rehearsal.h"

int main() {
  using namespace myrtlecroft::measure;
  std::printf("four servers, two proxies, about 20 s; the engine of n3 will accept work and not answer\n");
  RehearsalResult result = play({.single_fault = true, .requests_per_s = 220});
  std::printf("%s\ncompleted %d of %d, benefit %.3f; lost %d, duplicate runs %d\n", result.table.c_str(),
              result.completed, result.offered, result.benefit, result.lost_requests, result.duplicate_runs);
  return result.lost_requests == 0 && result.duplicate_runs == 0 ? 0 : 1;
}
