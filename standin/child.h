// A child process of a test or measurement. It is signalled by its process id only, never by name.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace myrtlecroft::standin {

// Kills and reaps the process when destroyed. Not thread-safe.
class ChildProcess {
 public:
  ChildProcess() = default;
  // Starts `command`; its standard output and error are appended to the file `log`, and `variables` are added
  // to its environment. If the program can't be executed, the process exits with code 127.
  ChildProcess(const std::vector<std::string>& command, const std::string& log,
               const std::vector<std::pair<std::string, std::string>>& variables = {}) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the parent may be killed before it can end its children
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (const auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> words;
    for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  ChildProcess(ChildProcess&& other) noexcept : pid_(std::exchange(other.pid_, -1)), code_(other.code_) {}
  ChildProcess& operator=(ChildProcess&& other) noexcept {
    if (this != &other) end(SIGKILL), pid_ = std::exchange(other.pid_, -1), code_ = other.code_;
    return *this;
  }
  ~ChildProcess() { end(SIGKILL); }

  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Sends the signal and waits for the exit. Returns the exit code, or -1 if the process was killed by a
  // signal.
  int end(int number) {
    if (pid_ <= 0) return -1;
    ::kill(pid_, number);
    return wait();
  }
  int wait() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(std::exchange(pid_, -1), &status, 0) < 0) return -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  int pid() const { return pid_; }
  // Whether the process has exited by itself or was killed by someone else. Reaps it without blocking.
  bool has_exited() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0) return false;
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    pid_ = -1;
    return true;
  }
  // Exit code, valid once has_exited() returned true; -1: killed by a signal.
  int code() const { return code_; }

  // Resident memory in kB.
  long resident_kb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }
  // CPU time used so far, in user and kernel mode.
  double cpu_ms() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string all((std::istreambuf_iterator<char>(in)), {});
    std::istringstream words(all.substr(all.rfind(')') + 2));
    std::string word;
    long ticks = 0;
    for (int i = 0; words >> word && i < 13; ++i) {
      if (i >= 11) ticks += std::atol(word.c_str());
    }
    return 1000.0 * static_cast<double>(ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

 private:
  pid_t pid_ = -1;
  int code_ = -1;
};

}  // namespace myrtlecroft::standin
