// Rereads a server's files on a thread of its own, because reading the settings of a large deployment takes
// hundreds of milliseconds, which would block the loop.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include "launch.h"
#include "net/loop.h"
#include "settings/node_settings.h"

namespace myrtlecroft {

// The files as read by a reload, or the error.
struct ReloadResult {
  LaunchConfig launch;
  settings::NodeSettings node_settings;
  std::string error;  // empty if both files were read
};

// Used on the loop's thread.
class FileReloader {
 public:
  // `on_read` is called on the loop's thread once for each read. The paths and the loop must outlive this
  // object.
  FileReloader(net::Loop& loop, const char* path, const char* settings_path,
               std::function<void(ReloadResult)> on_read);
  ~FileReloader();  // waits for a read in progress
  // Starts a read. If one is in progress, another follows it, because a file may have changed after the first
  // read had finished with it.
  void request_reload();

 private:
  void start_thread();
  void read_files();
  void finish();

  const char* path_;
  const char* settings_path_;
  std::function<void(ReloadResult)> on_read_;
  net::CrossThreadWakeup read_done_;
  std::thread thread_;
  ReloadResult result_;  // written by the thread until it has notified `read_done_`
  bool repeat_ = false;
};

}  // namespace myrtlecroft
