// A file with a given text, for tests of readers of configuration files; removed with the object.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace myrtlecroft {

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
