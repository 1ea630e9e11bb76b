#include "operator.h"

#include <chrono>
#include <exception>
#include <optional>

#include "control/admin_client.h"
#include "net/address.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);
constexpr int kMaxAttempts = 40;  // attempts for one command

control::AdminAnswer call(int port, const std::string& line) {
  return control::AdminClient(net::loopback(static_cast<std::uint16_t>(port))).call(line);
}

}  // namespace

Operator::Operator(std::vector<int> admin_ports)
    : admin_ports_(std::move(admin_ports)), thread_([this] { run(); }) {}

Operator::~Operator() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void Operator::send(int instance, const std::string& command) {
  std::lock_guard lock(mutex_);
  queue_.push_back({.instance = instance, .text = command});
  changed_.notify_one();
}

control::AdminAnswer Operator::status() const {
  std::lock_guard lock(mutex_);
  return status_;
}

bool Operator::is_accepted(int instance, const std::string& command) const {
  try {
    std::string error = call(port_of(instance), command).error();
    return error.find("out of touch") == std::string::npos && error.find("not agreed") == std::string::npos;
  } catch (const std::exception&) {
    return false;
  }
}

bool Operator::send_with_retries(const Command& command) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (is_accepted(command.instance + attempt, command.text)) return true;
    std::unique_lock lock(mutex_);
    if (changed_.wait_for(lock, kPollInterval, [this] { return ending_; })) return false;
  }
  return true;
}

void Operator::poll_status(int instance) {
  try {
    control::AdminAnswer answer = call(port_of(instance), "release status");
    std::lock_guard lock(mutex_);
    if (answer.epoch() >= status_.epoch()) status_ = answer;
  } catch (const std::exception&) {
    // The instance is killed or unreachable; the next poll goes to another one.
  }
}

void Operator::run() {
  for (int turn = 0;; ++turn) {
    std::optional<Command> command;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, kPollInterval, [this] { return ending_ || !queue_.empty(); });
      if (ending_) return;
      if (!queue_.empty()) {
        command = std::move(queue_.front());
        queue_.pop_front();
      }
    }
    if (command && !send_with_retries(*command)) return;
    poll_status(turn);
  }
}

}  // namespace myrtlecroft::rehearsal
