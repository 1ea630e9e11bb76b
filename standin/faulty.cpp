// Loaded into a process that is to fail from inside (faults.h). Calls that it stands before go on to the C
// library; nothing else is touched.
#include <dlfcn.h>
#include <sys/stat.h>
#include <time.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>

#include "faults.h"

namespace {

using myrtlecroft::standin::Faults;

Faults* faults() {
  static Faults* found = []() -> Faults* {
    const char* path = std::getenv("MYRTLECROFT_FAULTS");
    int file = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return nullptr;
    void* at = ::mmap(nullptr, sizeof(Faults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return at == MAP_FAILED ? nullptr : static_cast<Faults*>(at);
  }();
  return found;
}

template <class Call>
Call next(const char* name) {
  return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

int sync(int file, int (*call)(int)) {
  Faults* now = faults();
  if (!now) return call(file);
  if (++now->syncs == now->crash_at_sync) ::kill(::getpid(), SIGKILL);
  if (std::int64_t takes = now->sync_delay_ns) {
    timespec wait{.tv_sec = takes / 1'000'000'000, .tv_nsec = takes % 1'000'000'000};
    ::nanosleep(&wait, nullptr);
  }
  if (int code = now->sync_error) {
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
  Faults* now = faults();
  int code = now ? now->write_error.load() : 0;
  struct stat what {};
  // Logs go to standard output, and must tell of what happens.
  if (code != 0 && file > 2 && ::fstat(file, &what) == 0 && S_ISREG(what.st_mode)) {
    errno = code;
    return -1;
  }
  return call(file, bytes, count);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static auto call = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  int code = call(clock, out);
  Faults* now = clock == CLOCK_REALTIME ? faults() : nullptr;
  if (code != 0 || !now) return code;
  std::int64_t at = out->tv_sec * 1'000'000'000 + out->tv_nsec + now->wall_clock_offset_ns;
  out->tv_sec = at / 1'000'000'000;
  out->tv_nsec = at % 1'000'000'000;
  return code;
}

}  // extern "C"
