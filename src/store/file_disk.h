// A folder of a file system as a Disk. Used by the store's thread, and by the store's tool.
#pragma once

#include "store/disk.h"

namespace myrtlecroft::store {

class FileDisk final : public Disk {
 public:
  // Creates the folder where it is missing. Throws DiskError.
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
  int lock_ = -1;
  // The file read last stays open: recovery and compaction read one from end to end.
  std::string reading_;
  int reader_ = -1;
};

}  // namespace myrtlecroft::store
