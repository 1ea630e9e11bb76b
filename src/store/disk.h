// The file operations that the store needs: one folder of append-only files. FileDisk implements them on a
// file system; FakeDisk, for tests, in memory with simulated crashes and faults. Not thread-safe: called on
// the thread that owns the store.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlecroft::store {

// Thrown when a file operation fails; `code` is the errno of the failed call.
struct DiskError : std::runtime_error {
  DiskError(const std::string& what, int error_code) : std::runtime_error(what), code(error_code) {}
  int code;
};

// A file open for appending. Appended bytes are durable once sync() has returned. Both calls may throw
// DiskError; it is then unknown which of the bytes appended since the last sync are on the disk.
class File {
 public:
  virtual ~File() = default;
  virtual void append(std::string_view bytes) = 0;
  virtual void sync() = 0;
};

// One folder of files. Every call may throw DiskError.
class Disk {
 public:
  virtual ~Disk() = default;
  // Takes the folder's exclusive lock and holds it until this object is destroyed. Returns false while
  // another process holds the lock.
  virtual bool try_lock() = 0;
  // Returns the names of all files, sorted.
  virtual std::vector<std::string> list() = 0;
  // Creates an empty file and opens it for appending; replaces an existing file of that name.
  virtual std::unique_ptr<File> create(const std::string& name) = 0;
  // Returns the size of the file in bytes.
  virtual std::uint64_t size(const std::string& name) = 0;
  // Returns up to `max` bytes from `offset`; fewer only if the file ends first.
  virtual std::string read(const std::string& name, std::uint64_t offset, std::size_t max) = 0;
  // Renames a file; replaces an existing file named `to`.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Removes a file; does nothing if it does not exist.
  virtual void remove(const std::string& name) = 0;
  // Makes all earlier creations, renames and removals in the folder durable.
  virtual void sync_folder() = 0;
};

}  // namespace myrtlecroft::store
