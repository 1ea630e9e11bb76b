// Cost of work in this process: the CPU time of the calling thread, which a busy machine affects far less
// than wall time, and the memory that malloc reports as in use.
#pragma once

#include <malloc.h>

#include <ctime>

namespace myrtlecroft::capacity {

// Current time of `clock` in seconds.
inline double clock_seconds(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

inline double thread_cpu_seconds() { return clock_seconds(CLOCK_THREAD_CPUTIME_ID); }
inline double wall_seconds() { return clock_seconds(CLOCK_MONOTONIC); }

// CPU time in ms that the calling thread spends in `work`.
template <class Work>
double measure_cpu_ms(Work&& work) {
  double before = thread_cpu_seconds();
  work();
  return (thread_cpu_seconds() - before) * 1e3;
}

// Bytes allocated now, from the heap and by mmap.
inline double heap_bytes() {
  struct mallinfo2 now = mallinfo2();
  return static_cast<double>(now.uordblks) + static_cast<double>(now.hblkhd);
}

}  // namespace myrtlecroft::capacity
