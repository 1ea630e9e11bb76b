// Test support: a control service on loopback with the real clock, and reporters that stand in for servers.
// Tests poll with a time limit for what they expect instead of sleeping.
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

// Records all log lines. Thread-safe.
class RecordingLogger final : public service::Logger {
 public:
  void line(const std::string& text) override {
    std::lock_guard lock(mutex_);
    lines_.push_back(text);
  }
  void write_rate_limited(const std::string& text) override { line(text); }
  void write_routine(const std::string&) override {}
  bool has(const std::string& text) const {
    std::lock_guard lock(mutex_);
    for (const std::string& line : lines_) {
      if (line.find(text) != std::string::npos) return true;
    }
    return false;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> lines_;
};

// A new folder in /tmp, removed with its content on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char name[] = "/tmp/myrtlecroft_control.XXXXXX";
    path_ = mkdtemp(name);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// Polls until `expected` returns true. Returns false if it does not within the limit.
inline bool await(const std::function<bool()>& expected, int limit_ms = 15'000) {
  auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (std::chrono::steady_clock::now() < deadline) {
    if (expected()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return expected();
}

using net::loopback;

// A control service that runs in its own thread until destruction.
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
  // Runs `task` in the loop's thread and waits for its result.
  template <class Task>
  auto run_in_loop(Task task) {
    std::promise<decltype(task(std::declval<ControlService&>()))> result;
    {
      std::lock_guard lock(mutex_);
      tasks_.push_back([&] { result.set_value(task(*control_)); });
    }
    return result.get_future().get();
  }
  // The stored name of the server's state; "unknown" if the fleet has no such server.
  std::string state_of(const std::string& node) {
    return run_in_loop([&](ControlService& control) -> std::string {
      for (const routing::ServerStatus& server : control.router().registry().all()) {
        if (server.node.name == node) return routing_state::stored_name(server.state);
      }
      return "unknown";
    });
  }
  std::uint16_t discovery_port() const { return discovery_port_; }
  std::uint16_t reports_port() const { return reports_port_; }
  std::uint16_t admin_port() const { return admin_port_; }
  const RecordingLogger& log() const { return log_; }

 private:
  void run(const ControlOptions& options) {
    net::Loop loop;
    control_ = std::make_unique<ControlService>(loop, log_, options);
    discovery_port_ = control_->discovery_port();
    reports_port_ = control_->reports_port();
    admin_port_ = control_->admin_port();
    net::Timer poll(loop.base(), [&] {
      std::vector<std::function<void()>> tasks;
      {
        std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
      }
      for (auto& task : tasks) task();
      if (stop_) {
        loop.stop();
      } else {
        poll.set(2 * kMs);
      }
    });
    poll.set(0);
    ready_.set_value();
    loop.run();
    control_.reset();
  }

  RecordingLogger log_;
  std::unique_ptr<ControlService> control_;
  std::promise<void> ready_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  std::uint16_t discovery_port_ = 0;
  std::uint16_t reports_port_ = 0;
  std::uint16_t admin_port_ = 0;
  std::thread thread_;
};

// Sends load reports for many servers ten times a second and after each change, and reconnects when a
// connection is closed.
class Reporters {
 public:
  explicit Reporters(std::uint16_t port) : port_(port), thread_([this] { run(); }) {}
  ~Reporters() {
    stop_ = true;
    wakeup_.notify_one();
    thread_.join();
    for (auto& [name, socket] : sockets_) ::close(socket);
  }
  // Changes the server's next report.
  void set(const std::string& node, const std::function<void(report::LoadReport&)>& change) {
    {
      std::lock_guard lock(mutex_);
      change(reports_[node]);
      changed_ = true;
    }
    wakeup_.notify_one();
  }
  // Starts reports of a server that serves normally.
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
  // While paused, no reports are sent for the server.
  void pause(const std::string& node, bool paused) {
    std::lock_guard lock(mutex_);
    paused_[node] = paused;
  }

 private:
  void run() {
    while (!stop_) {
      {
        std::lock_guard lock(mutex_);
        for (auto& [name, report] : reports_) {
          if (!paused_[name]) send(name, report);
        }
      }
      std::unique_lock lock(mutex_);
      wakeup_.wait_for(lock, std::chrono::milliseconds(100), [this] { return changed_ || stop_; });
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
  std::condition_variable wakeup_;
  bool changed_ = false;
  std::map<std::string, report::LoadReport> reports_;
  std::map<std::string, bool> paused_;
  std::map<std::string, int> sockets_;
  std::thread thread_;
};

}  // namespace myrtlecroft::control
