// An operator of the rig: sends commands to instances and polls the status of the release, on its own thread
// because an answer may take some seconds. Owned by RigReleases.
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

// All public functions may be called from any thread.
class Operator {
 public:
  // `admin_ports`: admin ports of the instances.
  explicit Operator(std::vector<int> admin_ports);
  ~Operator();
  // Queues the command for that instance. If it is not accepted there, it goes to the next instance, a
  // bounded number of times.
  void send(int instance, const std::string& command);
  // Returns the status answer with the highest epoch that any instance has given so far.
  control::AdminAnswer status() const;

 private:
  struct Command {
    int instance = 0;
    std::string text;
  };
  void run();
  // Returns false if the operator is being destroyed.
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
