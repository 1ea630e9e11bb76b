// A file that a test reads: written when it is made, removed with it.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace myrtlecroft {

class WrittenFile {
 public:
  explicit WrittenFile(const std::string& text) : path_("/tmp/myrtlecroft_test." + std::to_string(getpid())) {
    std::ofstream(path_) << text;
  }
  ~WrittenFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace myrtlecroft
