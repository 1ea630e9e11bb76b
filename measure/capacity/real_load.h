// The processes that hold the hollow servers and callers, started and asked as one.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "capacity/real_commands.h"
#include "child.h"

namespace myrtlecroft::capacity {

class HollowProcesses {
 public:
  // `program` is started with these words, and the descriptor that its commands come by.
  void start(const std::string& program, std::vector<std::string> words, const std::string& log);
  // The same command to all of them at once; their answers added up.
  hollow::Answer ask(const hollow::Command& command);
  // Another command to each.
  hollow::Answer ask_each(const std::function<hollow::Command(std::size_t process)>& command);

  // Ends all of them, and with them their connections.
  void stop() { all_.clear(); }

  std::size_t size() const { return all_.size(); }
  double cpu_ms() const;
  long resident_kb() const;

 private:
  struct Process {
    CommandClient link;
    standin::ChildProcess child;
  };
  std::vector<std::unique_ptr<Process>> all_;
};

// Counts are added, lists joined; the time is the earliest.
void add(hollow::Answer& to, const hollow::Answer& more);

}  // namespace myrtlecroft::capacity
