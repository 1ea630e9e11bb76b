#include "store/file_disk.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace myrtlecroft::store {
namespace {

[[noreturn]] void throw_disk_error(const std::string& what) {
  int code = errno;
  throw DiskError(what + ": " + std::strerror(code), code);
}

// A file opened with O_APPEND; owns its descriptor.
class AppendFile final : public File {
 public:
  AppendFile(std::string path, int descriptor) : path_(std::move(path)), descriptor_(descriptor) {}
  ~AppendFile() override { ::close(descriptor_); }
  void append(std::string_view bytes) override {
    while (!bytes.empty()) {
      ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) throw_disk_error(path_);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }
  void sync() override {
    if (::fdatasync(descriptor_) != 0) throw_disk_error(path_);
  }

 private:
  std::string path_;
  int descriptor_;
};

}  // namespace

FileDisk::FileDisk(std::string folder) : folder_(std::move(folder)) {
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) throw_disk_error(folder_);
  struct stat status {};
  if (::stat(folder_.c_str(), &status) != 0) throw_disk_error(folder_);
  if (!S_ISDIR(status.st_mode)) throw DiskError(folder_ + ": not a folder", ENOTDIR);
}

FileDisk::~FileDisk() {
  if (lock_descriptor_ >= 0) ::close(lock_descriptor_);
  if (read_descriptor_ >= 0) ::close(read_descriptor_);
}

bool FileDisk::try_lock() {
  lock_descriptor_ = ::open(path("LOCK").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_descriptor_ < 0) throw_disk_error(path("LOCK"));
  if (::flock(lock_descriptor_, LOCK_EX | LOCK_NB) == 0) return true;
  if (errno != EWOULDBLOCK) throw_disk_error(path("LOCK"));
  ::close(std::exchange(lock_descriptor_, -1));
  return false;
}

std::vector<std::string> FileDisk::list() {
  DIR* folder = ::opendir(folder_.c_str());
  if (!folder) throw_disk_error(folder_);
  std::vector<std::string> names;
  while (dirent* entry = ::readdir(folder)) {
    std::string name = entry->d_name;
    if (name != "." && name != "..") names.push_back(std::move(name));
  }
  ::closedir(folder);
  std::sort(names.begin(), names.end());
  return names;
}

std::unique_ptr<File> FileDisk::create(const std::string& name) {
  int descriptor = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (descriptor < 0) throw_disk_error(path(name));
  return std::make_unique<AppendFile>(path(name), descriptor);
}

std::uint64_t FileDisk::size(const std::string& name) {
  struct stat status {};
  if (::stat(path(name).c_str(), &status) != 0) throw_disk_error(path(name));
  return static_cast<std::uint64_t>(status.st_size);
}

std::string FileDisk::read(const std::string& name, std::uint64_t offset, std::size_t max) {
  if (open_file_name_ != name) {
    if (read_descriptor_ >= 0) ::close(std::exchange(read_descriptor_, -1));
    open_file_name_.clear();
    read_descriptor_ = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (read_descriptor_ < 0) throw_disk_error(path(name));
    open_file_name_ = name;
  }
  std::string out(max, '\0');
  std::size_t received = 0;
  while (received < max) {
    ssize_t count = ::pread(read_descriptor_, out.data() + received, max - received,
                            static_cast<off_t>(offset + received));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw_disk_error(path(name));
    if (count == 0) break;
    received += static_cast<std::size_t>(count);
  }
  out.resize(received);
  return out;
}

void FileDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) throw_disk_error(path(to));
  if (open_file_name_ == to || open_file_name_ == from) open_file_name_.clear();
}

void FileDisk::remove(const std::string& name) {
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) throw_disk_error(path(name));
  if (open_file_name_ == name) open_file_name_.clear();
}

void FileDisk::sync_folder() {
  int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) throw_disk_error(folder_);
  int result = ::fsync(folder);
  int code = errno;
  ::close(folder);
  if (result != 0) throw DiskError(folder_ + ": " + std::strerror(code), code);
}

}  // namespace myrtlecroft::store
