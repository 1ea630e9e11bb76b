#include "reload.h"

#include <exception>
#include <utility>

namespace myrtlecroft {

FileReloader::FileReloader(net::Loop& loop, const char* path, const char* settings_path,
                           std::function<void(ReloadResult)> on_read)
    : path_(path),
      settings_path_(settings_path),
      on_read_(std::move(on_read)),
      read_done_(loop.base(), [this] { finish(); }) {}

FileReloader::~FileReloader() {
  if (thread_.joinable()) thread_.join();
}

void FileReloader::request_reload() {
  if (thread_.joinable()) {
    repeat_ = true;
    return;
  }
  start_thread();
}

void FileReloader::start_thread() {
  result_ = {};
  try {
    thread_ = std::thread([this] { read_files(); });
  } catch (const std::exception& error) {  // the system can't create another thread
    result_.error = error.what();
    on_read_(std::move(result_));
  }
}

void FileReloader::read_files() {
  try {
    result_.launch = read_launch_config(path_);
    result_.node_settings = settings::read_node_settings(settings_path_);
    // The configuration does not change during an incarnation. It is freed on this thread, because freeing it
    // would block the loop.
    result_.launch.start.config = {};
  } catch (const std::exception& error) {
    result_.error = error.what();
  }
  read_done_.notify();
}

void FileReloader::finish() {
  thread_.join();
  on_read_(std::move(result_));
  if (std::exchange(repeat_, false)) start_thread();
}

}  // namespace myrtlecroft
