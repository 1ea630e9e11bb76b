// Runs the simulator's adapter on standard input and output. Malformed input ends it with one line on
// standard error and exit code 1.
#include <cstdio>
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    myrtlecroft::wirehost::Wire(std::cin, std::cout).serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft_wirehost: %s\n", error.what());
    return 1;
  }
  return 0;
}
