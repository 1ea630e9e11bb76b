#include "reload.h"

#include <exception>
#include <utility>

namespace myrtlecroft {

Reload::Reload(net::Loop& loop, const char* path, const char* settings_path,
               std::function<void(ReadAgain)> taken)
    : path_(path),
      settings_path_(settings_path),
      taken_(std::move(taken)),
      done_(loop.base(), [this] { finish(); }) {}

Reload::~Reload() {
  if (thread_.joinable()) thread_.join();
}

void Reload::ask() {
  if (thread_.joinable()) {
    again_ = true;
    return;
  }
  begin();
}

void Reload::begin() {
  result_ = {};
  try {
    thread_ = std::thread([this] { read(); });
  } catch (const std::exception& error) {  // the system has no further thread
    result_.error = error.what();
    taken_(std::move(result_));
  }
}

void Reload::read() {
  try {
    result_.launch = read_launch(path_);
    result_.own = settings::read_node_settings(settings_path_);
    // Fixed for the incarnation of a server. Freed here, since the loop would stand still for it.
    result_.launch.start.config = {};
  } catch (const std::exception& error) {
    result_.error = error.what();
  }
  done_.notify();
}

void Reload::finish() {
  thread_.join();
  taken_(std::move(result_));
  if (std::exchange(again_, false)) begin();
}

}  // namespace myrtlecroft
