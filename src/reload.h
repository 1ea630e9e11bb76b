// Reads a server's files again beside the loop: settings of a large deployment take hundreds of milliseconds.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include "launch.h"
#include "net/loop.h"
#include "settings/node_settings.h"

namespace myrtlecroft {

struct ReadAgain {
  Launch launch;
  settings::NodeSettings own;
  std::string error;  // empty where both could be read
};

class Reload {
 public:
  // `taken` is told in the loop, once for each reading. The paths must outlive it, and so must the loop.
  Reload(net::Loop& loop, const char* path, const char* settings_path, std::function<void(ReadAgain)> taken);
  ~Reload();  // waits for a reading that is under way
  // A file may have changed after a reading under way had looked at it: then another follows.
  void ask();

 private:
  void begin();
  void read();
  void finish();

  const char* path_;
  const char* settings_path_;
  std::function<void(ReadAgain)> taken_;
  net::CrossThreadWakeup done_;
  std::thread thread_;
  ReadAgain result_;  // of the thread until it has fired `done_`
  bool again_ = false;
};

}  // namespace myrtlecroft
