// Preloaded library that injects the faults of faults.h into a process. It wraps the calls defined below and
// forwards them to the C library; no other call is changed.
#include <dlfcn.h>
#include <sys/stat.h>
#include <time.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>

#include "faults.h"

namespace {

using myrtlecroft::standin::Faults;
using myrtlecroft::standin::kCrashBegun;

Faults* faults() {
  static Faults* mapped = []() -> Faults* {
    const char* path = std::getenv("MYRTLECROFT_FAULTS");
    int file = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return nullptr;
    void* mapping = ::mmap(nullptr, sizeof(Faults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return mapping == MAP_FAILED ? nullptr : static_cast<Faults*>(mapping);
  }();
  return mapped;
}

template <class Call>
Call next(const char* name) {
  return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

void sleep_for(std::int64_t delay_ns) {
  if (delay_ns == 0) return;
  timespec wait{.tv_sec = delay_ns / 1'000'000'000, .tv_nsec = delay_ns % 1'000'000'000};
  ::nanosleep(&wait, nullptr);
}

// Either this call begins the crash or FaultFile::cancel_crash() cancels it, never both.
void crash_if_planned(Faults& active, std::int64_t sync) {
  if (!active.crash_at_sync.compare_exchange_strong(sync, kCrashBegun)) return;
  sleep_for(active.crash_delay_ns);
  ::kill(::getpid(), SIGKILL);
}

int sync(int file, int (*call)(int)) {
  Faults* active = faults();
  if (!active) return call(file);
  crash_if_planned(*active, ++active->syncs);
  sleep_for(active->sync_delay_ns);
  if (int code = active->sync_error) {
    errno = code;
    return -1;
  }
  return call(file);
}

}  // namespace

extern "C" {

int fsync(int file) {
  static auto call = next<int (*)(int)>("fsync");
  return sync(file, call);
}

int fdatasync(int file) {
  static auto call = next<int (*)(int)>("fdatasync");
  return sync(file, call);
}

ssize_t write(int file, const void* bytes, size_t count) {
  static auto call = next<ssize_t (*)(int, const void*, size_t)>("write");
  Faults* active = faults();
  int code = active ? active->write_error.load() : 0;
  struct stat file_status {};
  // Standard output and error are spared, as the logs go there and must show what happens.
  if (code != 0 && file > 2 && ::fstat(file, &file_status) == 0 && S_ISREG(file_status.st_mode)) {
    errno = code;
    return -1;
  }
  return call(file, bytes, count);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static auto call = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  int code = call(clock, out);
  Faults* active = clock == CLOCK_REALTIME ? faults() : nullptr;
  if (code != 0 || !active) return code;
  std::int64_t shifted_ns = out->tv_sec * 1'000'000'000 + out->tv_nsec + active->wall_clock_offset_ns;
  out->tv_sec = shifted_ns / 1'000'000'000;
  out->tv_nsec = shifted_ns % 1'000'000'000;
  return code;
}

}  // extern "C"
