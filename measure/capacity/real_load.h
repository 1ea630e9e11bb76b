// A group of processes that run hollow servers or callers, started and commanded together.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "capacity/real_commands.h"
#include "child.h"

namespace myrtlecroft::capacity {

// The members that send commands throw std::runtime_error when a
// process has exited or doesn't answer in time.
class HollowProcesses {
 public:
  // Starts `program` with these arguments and `--commands` with the descriptor for its
  // commands; its output goes to the file `log`.
  void start(const std::string& program, std::vector<std::string> arguments, const std::string& log);
  // Sends one command to all processes at once and returns the sum of their answers.
  hollow::Answer command_all(const hollow::Command& command);
  // Sends a separate command to each process and returns the sum of their answers.
  hollow::Answer command_each(const std::function<hollow::Command(std::size_t process)>& command);

  // Ends all processes and thereby their connections.
  void stop() { processes_.clear(); }

  std::size_t size() const { return processes_.size(); }
  // CPU time of all processes since they started.
  double cpu_ms() const;
  long resident_kb() const;

 private:
  struct Process {
    CommandClient commands;
    standin::ChildProcess child;
  };
  std::vector<std::unique_ptr<Process>> processes_;
};

// Merges `more` into `to`: adds counts, concatenates lists and keeps the earliest time.
void merge_answer(hollow::Answer& to, const hollow::Answer& more);

}  // namespace myrtlecroft::capacity
