// A whole control service on loopback, servers that report as the story says, and a clock that is the real
// one: stories wait for what they expect, with a limit, and never sleep for it.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control/control.h"
#include "net/address.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::control {

class QuietLog final : public service::Logger {
 public:
  void line(const std::string& text) override {
    std::lock_guard lock(mutex_);
    lines_.push_back(text);
  }
  void frequent(const std::string& text) override { line(text); }
  void routine(const std::string&) override {}
  bool has(const std::string& part) const {
    std::lock_guard lock(mutex_);
    for (const std::string& text : lines_) {
      if (text.find(part) != std::string::npos) return true;
    }
    return false;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> lines_;
};

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/myrtlecroft_control.XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

inline bool await(const std::function<bool()>& expected, int limit_ms = 15'000) {
  auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (std::chrono::steady_clock::now() < until) {
    if (expected()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return expected();
}

using net::loopback;

// A control service in a thread of its own.
class RunningControl {
 public:
  explicit RunningControl(ControlOptions options)
      : thread_([this, options = std::move(options)] { run(options); }) {
    ready_.get_future().get();
  }
  ~RunningControl() {
    stop_ = true;
    thread_.join();
  }
  // Runs it in the loop's thread and waits for it.
  template <class Look>
  auto look(Look look) {
    std::promise<decltype(look(std::declval<Control&>()))> answer;
    {
      std::lock_guard lock(mutex_);
      todo_.push_back([&] { answer.set_value(look(*control_)); });
    }
    return answer.get_future().get();
  }
  std::string state_of(const std::string& node) {
    return look([&](Control& control) -> std::string {
      for (const routing::ServerStatus& server : control.router().registry().all()) {
        if (server.node.name == node) return routing_state::stored_name(server.state);
      }
      return "unknown";
    });
  }
  std::uint16_t discovery_port() const { return discovery_port_; }
  std::uint16_t reports_port() const { return reports_port_; }
  std::uint16_t admin_port() const { return admin_port_; }
  const QuietLog& log() const { return log_; }

 private:
  void run(const ControlOptions& options) {
    net::Loop loop;
    control_ = std::make_unique<Control>(loop, log_, options);
    discovery_port_ = control_->discovery_port();
    reports_port_ = control_->reports_port();
    admin_port_ = control_->admin_port();
    net::Timer look(loop.base(), [&] {
      std::vector<std::function<void()>> todo;
      {
        std::lock_guard lock(mutex_);
        todo.swap(todo_);
      }
      for (auto& one : todo) one();
      stop_ ? loop.stop() : look.set(2 * kMs);
    });
    look.set(0);
    ready_.set_value();
    loop.run();
    control_.reset();
  }

  QuietLog log_;
  std::unique_ptr<Control> control_;
  std::promise<void> ready_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::vector<std::function<void()>> todo_;
  std::uint16_t discovery_port_ = 0;
  std::uint16_t reports_port_ = 0;
  std::uint16_t admin_port_ = 0;
  std::thread thread_;
};

// Says for many servers what the story has them say, ten times a second, and connects again where it must.
class Reporters {
 public:
  explicit Reporters(std::uint16_t port) : port_(port), thread_([this] { run(); }) {}
  ~Reporters() {
    stop_ = true;
    wake_.notify_one();
    thread_.join();
    for (auto& [name, socket] : sockets_) ::close(socket);
  }
  void set(const std::string& node, const std::function<void(report::LoadReport&)>& change) {
    {
      std::lock_guard lock(mutex_);
      change(reports_[node]);
      changed_ = true;
    }
    wake_.notify_one();
  }
  void add(const std::string& node, const std::string& address) {
    set(node, [&](report::LoadReport& report) {
      report.node = node;
      report.address = address;
      report.incarnation = 1;
      report.engine_up = true;
      report.window = 40;
      report.limit = 8;
    });
  }
  void quiet(const std::string& node, bool quiet) {
    std::lock_guard lock(mutex_);
    quiet_[node] = quiet;
  }

 private:
  void run() {
    while (!stop_) {
      {
        std::lock_guard lock(mutex_);
        for (auto& [name, report] : reports_) {
          if (!quiet_[name]) send(name, report);
        }
      }
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, std::chrono::milliseconds(100), [this] { return changed_ || stop_; });
      changed_ = false;
    }
  }
  void send(const std::string& name, report::LoadReport& report) {
    ++report.sequence;
    report.sent_unix = net::Loop::unix_now();
    int& socket = sockets_[name];
    if (socket <= 0) {
      socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in to = loopback(port_);
      if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        ::close(socket);
        socket = 0;
        return;
      }
    }
    std::string bytes = report::encode(report);
    if (::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size())) {
      ::close(socket);
      socket = 0;
    }
  }

  std::uint16_t port_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool changed_ = false;
  std::map<std::string, report::LoadReport> reports_;
  std::map<std::string, bool> quiet_;
  std::map<std::string, int> sockets_;
  std::thread thread_;
};

}  // namespace myrtlecroft::control
