// A temporary file with a given text, for tests that read configuration files.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace myrtlecroft {

// Removed with the object. The path is the same for all objects of a process, so only one may exist at a
// time.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_("/tmp/myrtlecroft_fleet_test." + std::to_string(getpid())) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace myrtlecroft
