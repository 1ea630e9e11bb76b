// The file operations the store needs: one folder of append-only files. FileDisk implements them on a file
// system, FakeDisk (tests) on memory with losses and faults. Called by the store's one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlecroft::store {

// A failed file operation; `code` is its errno.
struct DiskError : std::runtime_error {
  DiskError(const std::string& what, int error_code) : std::runtime_error(what), code(error_code) {}
  int code;
};

// A file open for appending. Appended bytes are durable once sync() has returned; after either call has
// thrown DiskError it is unknown which of the bytes since the last sync are on the disk.
class File {
 public:
  virtual ~File() = default;
  virtual void append(std::string_view bytes) = 0;
  virtual void sync() = 0;
};

// One folder. Every call may throw DiskError.
class Disk {
 public:
  virtual ~Disk() = default;
  // Takes the folder's exclusive lock for the life of this object; false while another process has it.
  virtual bool try_lock() = 0;
  // The names of all files, sorted.
  virtual std::vector<std::string> list() = 0;
  // Opens a new, empty file, which replaces one of the same name.
  virtual std::unique_ptr<File> create(const std::string& name) = 0;
  // In bytes.
  virtual std::uint64_t size(const std::string& name) = 0;
  // Up to `max` bytes from `offset`; fewer at the end of the file.
  virtual std::string read(const std::string& name, std::uint64_t offset, std::size_t max) = 0;
  // Replaces a file named `to`.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Does nothing where there is no such file.
  virtual void remove(const std::string& name) = 0;
  // Makes creations, renames and removals so far durable.
  virtual void sync_folder() = 0;
};

}  // namespace myrtlecroft::store
