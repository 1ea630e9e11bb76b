// Operators at their terminals: they say things to instances and look at how a release fares, on a thread of
// their own, as an answer may take its time.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control.pb.h"

namespace myrtlecroft::rehearsal {

class Operator {
 public:
  // `admins`: ports of the instances.
  explicit Operator(std::vector<int> admins);
  ~Operator();
  // Said to that instance, and to the next where it does not get through.
  void say(int instance, const std::string& command);
  // The last that some instance said, by the highest epoch.
  control::AdminAnswer status() const;

 private:
  void run();
  // False: it did not get through.
  bool try_to_say(int instance, const std::string& command) const;

  std::vector<int> admins_;
  mutable std::mutex mutex_;
  std::condition_variable more_;
  std::deque<std::pair<int, std::string>> wanted_;
  control::AdminAnswer status_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace myrtlecroft::rehearsal
