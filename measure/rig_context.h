// What all parts of the rig share: options, folder, loop, chance, tasks for later, and the result with its
// timeline. Owned by Rig; used on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "../standin/no_log.h"
#include "agreement_rig.h"
#include "net/loop.h"

namespace myrtlecroft::rehearsal {

class RigContext {
 public:
  // Makes the folder.
  explicit RigContext(const RigOptions& options);

  const RigOptions& options() const { return options_; }
  const Incident& incident() const { return options_.incident; }
  std::string file(const std::string& name) const { return folder_ + "/" + name; }
  const std::string& folder() const { return folder_; }
  static std::string server_name(int server) { return "n" + std::to_string(server + 1); }

  net::Loop& loop() { return loop_; }
  service::Logger& log() { return log_; }
  std::mt19937& random() { return random_; }
  std::set<int>& taken_ports() { return taken_ports_; }

  // The incident's time begins, once the processes are ready.
  void begin() { begun_at_ = loop_.now(); }
  bool has_begun() const { return begun_at_ > 0; }
  Nanos begun_at() const { return begun_at_; }
  Nanos now() const { return loop_.now(); }

  void schedule(Nanos delay, std::function<void()> task) {
    tasks_.emplace(loop_.now() + delay, std::move(task));
  }
  void run_due_tasks();
  // Runs the loop until `condition` holds, or the time is over.
  void wait_for(const std::function<bool()>& condition, Nanos timeout);

  RigResult& result() { return result_; }
  // Counts a violation, and describes it where it is the first.
  void violated(int RigViolations::*counter, const std::string& what);
  void count_offered();
  // Of a request that was offered at `offered_at`.
  void count_completed(Nanos offered_at);
  // An event of the timeline.
  void note(const std::string& event);
  std::string timeline() const;

 private:
  struct Second {
    int offered = 0;
    int completed = 0;
    std::string events;
  };
  int second_of(Nanos time) const { return static_cast<int>((time - begun_at_) / kSecond); }

  RigOptions options_;
  std::string folder_;
  net::Loop loop_;
  standin::NullLogger log_;
  std::mt19937 random_;
  std::set<int> taken_ports_;
  std::multimap<Nanos, std::function<void()>> tasks_;
  RigResult result_;
  Nanos begun_at_ = 0;
  std::map<int, Second> seconds_;
};

}  // namespace myrtlecroft::rehearsal
