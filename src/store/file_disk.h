// Implements Disk on a folder of the file system. Not thread-safe.
#pragma once

#include "store/disk.h"

namespace myrtlecroft::store {

class FileDisk final : public Disk {
 public:
  // Creates the folder if it does not exist. Throws DiskError if that fails or the path is not a folder.
  explicit FileDisk(std::string folder);
  ~FileDisk() override;
  FileDisk(const FileDisk&) = delete;
  FileDisk& operator=(const FileDisk&) = delete;

  bool try_lock() override;
  std::vector<std::string> list() override;
  std::unique_ptr<File> create(const std::string& name) override;
  std::uint64_t size(const std::string& name) override;
  std::string read(const std::string& name, std::uint64_t offset, std::size_t max) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  void sync_folder() override;

 private:
  std::string path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
  int lock_descriptor_ = -1;  // of the locked file LOCK; -1: not locked
  // The file that was read last stays open, because recovery and compaction read a file from end to end in
  // several calls. -1: no file is open.
  std::string open_file_name_;
  int read_descriptor_ = -1;
};

}  // namespace myrtlecroft::store
