// How one process is to be failed from inside, by the library in faulty.cpp that is loaded into it: its clock
// stepped, its disk failing, full or slow, itself killed at a write that should last. Shared by way of a
// file.
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

struct Faults {
  std::atomic<std::int64_t> wall_clock_offset_ns;  // of the wall clock
  std::atomic<std::int32_t> sync_error;            // errno of every sync; 0: none
  std::atomic<std::int32_t> write_error;           // of every write to a file of a store
  std::atomic<std::int64_t> sync_delay_ns;
  std::atomic<std::int64_t> syncs;          // so far
  std::atomic<std::int64_t> crash_at_sync;  // killed as it begins that one; 0: never
};

// One process's faults, as whoever starts it holds them.
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
  void crash_after_syncs(std::int64_t sync) const { faults_->crash_at_sync = faults_->syncs + sync; }
  // For the environment of the process.
  std::vector<std::pair<std::string, std::string>> variables(const std::string& library) const {
    return {{"LD_PRELOAD", library}, {"MYRTLECROFT_FAULTS", path_}};
  }

 private:
  std::string path_;
  Faults* faults_ = nullptr;
};

}  // namespace myrtlecroft::standin
