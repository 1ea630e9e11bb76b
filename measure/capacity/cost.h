// What a piece of work in this process costs: time of the processor that this thread used, which a busy
// machine stretches far less than the time of the wall, and memory in use by malloc's count.
#pragma once

#include <malloc.h>

#include <ctime>

namespace myrtlecroft::capacity {

inline double seconds_of(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

inline double thread_cpu_seconds() { return seconds_of(CLOCK_THREAD_CPUTIME_ID); }
inline double wall_seconds() { return seconds_of(CLOCK_MONOTONIC); }

template <class Work>
double cpu_ms_of(Work&& work) {
  double before = thread_cpu_seconds();
  work();
  return (thread_cpu_seconds() - before) * 1e3;
}

// Bytes that are allocated now, small and mapped.
inline double heap_bytes() {
  struct mallinfo2 now = mallinfo2();
  return static_cast<double>(now.uordblks) + static_cast<double>(now.hblkhd);
}

}  // namespace myrtlecroft::capacity
