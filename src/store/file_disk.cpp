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

[[noreturn]] void fail(const std::string& what) {
  int code = errno;
  throw DiskError(what + ": " + std::strerror(code), code);
}

class GrowingFile final : public File {
 public:
  GrowingFile(std::string path, int file) : path_(std::move(path)), file_(file) {}
  ~GrowingFile() override { ::close(file_); }
  void append(std::string_view bytes) override {
    while (!bytes.empty()) {
      ssize_t wrote = ::write(file_, bytes.data(), bytes.size());
      if (wrote < 0 && errno == EINTR) continue;
      if (wrote < 0) fail(path_);
      bytes.remove_prefix(static_cast<std::size_t>(wrote));
    }
  }
  void sync() override {
    if (::fdatasync(file_) != 0) fail(path_);
  }

 private:
  std::string path_;
  int file_;
};

}  // namespace

FileDisk::FileDisk(std::string folder) : folder_(std::move(folder)) {
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) fail(folder_);
  struct stat what {};
  if (::stat(folder_.c_str(), &what) != 0) fail(folder_);
  if (!S_ISDIR(what.st_mode)) throw DiskError(folder_ + ": no folder", ENOTDIR);
}

FileDisk::~FileDisk() {
  if (lock_ >= 0) ::close(lock_);
  if (reader_ >= 0) ::close(reader_);
}

bool FileDisk::lock() {
  lock_ = ::open(path("LOCK").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) fail(path("LOCK"));
  if (::flock(lock_, LOCK_EX | LOCK_NB) == 0) return true;
  if (errno != EWOULDBLOCK) fail(path("LOCK"));
  ::close(std::exchange(lock_, -1));
  return false;
}

std::vector<std::string> FileDisk::list() {
  DIR* folder = ::opendir(folder_.c_str());
  if (!folder) fail(folder_);
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
  int file = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) fail(path(name));
  return std::make_unique<GrowingFile>(path(name), file);
}

std::uint64_t FileDisk::size(const std::string& name) {
  struct stat what {};
  if (::stat(path(name).c_str(), &what) != 0) fail(path(name));
  return static_cast<std::uint64_t>(what.st_size);
}

std::string FileDisk::read(const std::string& name, std::uint64_t offset, std::size_t max) {
  if (reading_ != name) {
    if (reader_ >= 0) ::close(std::exchange(reader_, -1));
    reading_.clear();
    reader_ = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (reader_ < 0) fail(path(name));
    reading_ = name;
  }
  std::string out(max, '\0');
  std::size_t got = 0;
  while (got < max) {
    ssize_t more = ::pread(reader_, out.data() + got, max - got, static_cast<off_t>(offset + got));
    if (more < 0 && errno == EINTR) continue;
    if (more < 0) fail(path(name));
    if (more == 0) break;
    got += static_cast<std::size_t>(more);
  }
  out.resize(got);
  return out;
}

void FileDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) fail(path(to));
  if (reading_ == to || reading_ == from) reading_.clear();
}

void FileDisk::remove(const std::string& name) {
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) fail(path(name));
  if (reading_ == name) reading_.clear();
}

void FileDisk::sync_folder() {
  int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) fail(folder_);
  int failed = ::fsync(folder);
  int code = errno;
  ::close(folder);
  if (failed != 0) throw DiskError(folder_ + ": " + std::strerror(code), code);
}

}  // namespace myrtlecroft::store
