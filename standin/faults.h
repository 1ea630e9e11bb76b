// Faults injected into one process by the library of faulty.cpp, which is preloaded into it: a stepped wall
// clock, a failing, full or slow disk, and SIGKILL at a sync. The settings are shared with the process
// through a memory-mapped file.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace myrtlecroft::standin {

// Values of Faults::crash_at_sync that are not the number of a sync.
constexpr std::int64_t kNoCrash = 0;
constexpr std::int64_t kCrashBegun = -1;  // the process has reached that sync: it is dead, or about to die

struct Faults {
  std::atomic<std::int64_t> wall_clock_offset_ns;  // added to the wall clock
  std::atomic<std::int32_t> sync_error;            // errno of every sync; 0: none
  std::atomic<std::int32_t> write_error;           // errno of every write to a regular file; 0: none
  std::atomic<std::int64_t> sync_delay_ns;
  std::atomic<std::int64_t> syncs;           // number of syncs so far
  std::atomic<std::int64_t> crash_at_sync;   // killed when it begins this sync
  std::atomic<std::int64_t> crash_delay_ns;  // from the beginning of that sync to the kill
};

// The faults of one process, as seen by the process that starts and controls it.
class FaultFile {
 public:
  explicit FaultFile(const std::string& path) : path_(path) {
    int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool sized = ::ftruncate(file, sizeof(Faults)) == 0;
    void* at =
        sized ? ::mmap(nullptr, sizeof(Faults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0) : MAP_FAILED;
    ::close(file);
    if (at != MAP_FAILED) faults_ = static_cast<Faults*>(at);
  }
  FaultFile(const FaultFile&) = delete;
  FaultFile& operator=(const FaultFile&) = delete;
  ~FaultFile() {
    if (faults_) ::munmap(faults_, sizeof(Faults));
  }
  Faults* operator->() const { return faults_; }
  // Kills the process when it begins its `sync`-th sync from now.
  void crash_after_syncs(std::int64_t sync) const { faults_->crash_at_sync = faults_->syncs + sync; }
  // Cancels the crash. Returns whether the process has begun it; its exit may not be visible yet.
  bool cancel_crash() const { return faults_->crash_at_sync.exchange(kNoCrash) == kCrashBegun; }
  bool crash_begun() const { return faults_->crash_at_sync == kCrashBegun; }
  // Forgets the crash of a previous process; a crash that has not begun stays planned.
  void forget_begun_crash() const {
    std::int64_t expected = kCrashBegun;
    faults_->crash_at_sync.compare_exchange_strong(expected, kNoCrash);
  }
  // Environment variables with which the process loads the fault library from the path `library`.
  std::vector<std::pair<std::string, std::string>> variables(const std::string& library) const {
    return {{"LD_PRELOAD", library}, {"MYRTLECROFT_FAULTS", path_}};
  }

 private:
  std::string path_;
  Faults* faults_ = nullptr;
};

}  // namespace myrtlecroft::standin
