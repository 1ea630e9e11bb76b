// State that all components of the rig share: options, folder, loop, random generator, scheduled tasks, and
// the result with its timeline. Owned by Rig; used on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "../standin/no_log.h"
#include "../standin/port_reservations.h"
#include "agreement_rig.h"
#include "net/loop.h"

namespace myrtlecroft::rehearsal {

class RigContext {
 public:
  // Creates a temporary folder.
  explicit RigContext(const RigOptions& options);

  const RigOptions& options() const { return options_; }
  const Incident& incident() const { return options_.incident; }
  std::string file(const std::string& name) const { return folder_ + "/" + name; }
  const std::string& folder() const { return folder_; }
  static std::string server_name(int server) { return "n" + std::to_string(server + 1); }

  net::Loop& loop() { return loop_; }
  service::Logger& log() { return log_; }
  std::mt19937& random() { return random_; }
  standin::PortReservations& ports() { return ports_; }

  // Starts the incident's time. Call once the processes are ready.
  void begin() { begin_time_ = loop_.now(); }
  bool has_begun() const { return begin_time_ > 0; }
  Nanos begin_time() const { return begin_time_; }
  Nanos now() const { return loop_.now(); }

  void schedule(Nanos delay, std::function<void()> task) {
    tasks_.emplace(loop_.now() + delay, std::move(task));
  }
  void run_due_tasks();
  // Runs the loop until `condition` returns true or `timeout` has passed.
  void wait_for(const std::function<bool()>& condition, Nanos timeout);

  RigResult& result() { return result_; }
  // Counts a violation; the first one is also described in the result.
  void record_violation(int RigViolations::*counter, const std::string& description);
  void count_offered();
  // Counts a completed request in the second in which it was offered.
  void count_completed(Nanos offered_at);
  // Adds an event to the timeline.
  void record_event(const std::string& event);
  std::string timeline() const;

 private:
  struct Second {
    int offered = 0;
    int completed = 0;
    std::string events;
  };
  int second_of(Nanos time) const { return static_cast<int>((time - begin_time_) / kSecond); }

  RigOptions options_;
  std::string folder_;
  net::Loop loop_;
  standin::NullLogger log_;
  std::mt19937 random_;
  standin::PortReservations ports_;
  std::multimap<Nanos, std::function<void()>> tasks_;
  RigResult result_;
  Nanos begin_time_ = 0;
  std::map<int, Second> seconds_;
};

}  // namespace myrtlecroft::rehearsal
