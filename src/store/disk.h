// What the store sees of a disk: one folder of files that only grow. src/store/file_disk implements it on a
// file system, tests by a fake that loses, reorders and fails.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlecroft::store {

// `code` is an errno.
struct DiskError : std::runtime_error {
  DiskError(const std::string& what, int code_) : std::runtime_error(what), code(code_) {}
  int code;
};

// A file that is written. What was appended is on the disk after sync() has returned, and not before; where
// either has thrown, nothing is known of what was appended since the last sync.
class File {
 public:
  virtual ~File() = default;
  virtual void append(std::string_view bytes) = 0;
  virtual void sync() = 0;
};

class Disk {
 public:
  virtual ~Disk() = default;
  // False: another process has the folder.
  virtual bool lock() = 0;
  virtual std::vector<std::string> list() = 0;
  // A new, empty file; one of that name is replaced.
  virtual std::unique_ptr<File> create(const std::string& name) = 0;
  virtual std::uint64_t size(const std::string& name) = 0;
  // As many bytes as there are, `most` at most.
  virtual std::string read(const std::string& name, std::uint64_t offset, std::size_t max) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& name) = 0;
  // Makes creations, renames and removals last.
  virtual void sync_folder() = 0;
};

}  // namespace myrtlecroft::store
