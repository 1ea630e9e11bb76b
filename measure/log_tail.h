// Reads the lines that a process has appended to its log since the previous read. Used by the rig's
// components.
#pragma once

#include <fstream>
#include <string>
#include <utility>

namespace myrtlecroft::rehearsal {

class LogTail {
 public:
  explicit LogTail(std::string path) : path_(std::move(path)) {}
  // Calls `handle` for each complete line that is new.
  template <class Handle>
  void for_each_new_line(Handle handle) {
    std::ifstream in(path_);
    in.seekg(offset_);
    for (std::string line; std::getline(in, line) && !in.eof();) {
      offset_ = in.tellg();
      handle(line);
    }
  }

 private:
  std::string path_;
  std::streamoff offset_ = 0;
};

}  // namespace myrtlecroft::rehearsal
