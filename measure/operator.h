// An operator of the rig: sends commands to instances and polls a release's status, on a thread of its own,
// as an answer may take some seconds. Owned by RigReleases.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "control.pb.h"

namespace myrtlecroft::rehearsal {

// May be used from any thread.
class Operator {
 public:
  // `admin_ports`: of the instances.
  explicit Operator(std::vector<int> admin_ports);
  ~Operator();
  // Queues the command for that instance; where it is not accepted there, for the next one, a bounded number
  // of times.
  void send(int instance, const std::string& command);
  // The answer with the highest epoch that some instance has given so far.
  control::AdminAnswer status() const;

 private:
  struct Command {
    int instance = 0;
    std::string text;
  };
  void run();
  // False where the operator was told to end meanwhile.
  bool send_with_retries(const Command& command);
  bool is_accepted(int instance, const std::string& command) const;
  void poll_status(int instance);
  int port_of(int instance) const {
    return admin_ports_[static_cast<std::size_t>(instance) % admin_ports_.size()];
  }

  std::vector<int> admin_ports_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Command> queue_;
  control::AdminAnswer status_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace myrtlecroft::rehearsal
