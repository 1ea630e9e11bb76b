#include "operator.h"

#include <chrono>

#include "control/admin_client.h"
#include "net/address.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr auto kLookEvery = std::chrono::milliseconds(100);
constexpr int kMaxTries = 40;

}  // namespace

Operator::Operator(std::vector<int> admins) : admins_(std::move(admins)), thread_([this] { run(); }) {}

Operator::~Operator() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  more_.notify_one();
  thread_.join();
}

void Operator::say(int instance, const std::string& command) {
  std::lock_guard lock(mutex_);
  wanted_.emplace_back(instance, command);
  more_.notify_one();
}

control::AdminAnswer Operator::status() const {
  std::lock_guard lock(mutex_);
  return status_;
}

bool Operator::try_to_say(int instance, const std::string& command) const {
  try {
    int port = admins_[static_cast<std::size_t>(instance) % admins_.size()];
    std::string error =
        control::AdminClient(net::loopback(static_cast<std::uint16_t>(port))).call(command).error();
    return error.find("out of touch") == std::string::npos && error.find("not agreed") == std::string::npos;
  } catch (const std::exception&) {
    return false;
  }
}

void Operator::run() {
  for (int turn = 0;; ++turn) {
    std::pair<int, std::string> next{-1, ""};
    {
      std::unique_lock lock(mutex_);
      more_.wait_for(lock, kLookEvery, [this] { return ending_ || !wanted_.empty(); });
      if (ending_) return;
      if (!wanted_.empty()) {
        next = wanted_.front();
        wanted_.pop_front();
      }
    }
    for (int tried = 0; next.first >= 0 && tried < kMaxTries; ++tried) {
      if (try_to_say(next.first + tried, next.second)) break;
      std::unique_lock lock(mutex_);
      if (more_.wait_for(lock, kLookEvery, [this] { return ending_; })) return;
    }
    try {
      int port = admins_[static_cast<std::size_t>(turn) % admins_.size()];
      control::AdminAnswer seen =
          control::AdminClient(net::loopback(static_cast<std::uint16_t>(port))).call("release status");
      std::lock_guard lock(mutex_);
      if (seen.epoch() >= status_.epoch()) status_ = seen;
    } catch (const std::exception&) {
      // Dead, or cut off: another is asked next.
    }
  }
}

}  // namespace myrtlecroft::rehearsal
