// What is known of the engine across breaks of the link: which notices were read, which commands arrived. No
// I/O.
//
// After a break it is unknown which of the last commands arrived. A command is known to have arrived once
// gauges asked for after it came back. On a new link nothing is sent before the backlog of notices is read,
// which the gauges asked for right after HELLO close. Then what never went out is sent. Of what went out
// unseen, a run of a repeatable request and a skip (it names its notice) are sent again. A run that must not
// happen twice is, where runs of its group are seen to make a call always: it could not be over by now
// without having asked for one. A reply is, where they are seen to make one call at most: it can't be taken
// for the next call's; else the call is skipped where that is allowed. What is left ends by a notice or at
// its due time.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "service/ports.h"

namespace myrtlecroft::service {

struct Notice {
  enum class Kind { kDone, kNeed, kNote };
  Kind kind = Kind::kNote;
  std::uint64_t number = 0;
  std::string id;
  Outcome outcome = Outcome::kOk;  // of kDone
  std::string payload;
};

class EngineEvents {
 public:
  virtual ~EngineEvents() = default;
  virtual void engine_up(bool booting, Nanos age) = 0;  // the first HELLO
  virtual void run_needs_call(ServerRequest& request) = 0;
  virtual void run_ended(ServerRequest& request, Outcome outcome, std::string_view result) = 0;
  virtual void gauges_received(const std::vector<double>& values) = 0;
  virtual void test_completed(bool good) = 0;
};

class EngineSession {
 public:
  EngineSession(Engine& link, EngineEvents& events) : link_(link), events_(events) {}

  void run(ServerRequest& request);
  void deliver_reply(ServerRequest& request, std::string reply);
  void skip(ServerRequest& request);
  void forget(ServerRequest& request);
  void request_gauges();
  bool test();  // false: the link is down, nothing was asked

  // From the link.
  void pause();  // send nothing more on this link, and see to it that what was sent is known to have arrived
  bool all_commands_confirmed() const { return !settled_ && confirmed_ == sent_; }
  void link_established() { link_.attach(last_notice_); }
  void link_lost();
  void hello(bool booting, Nanos age);
  void notice(const Notice& notice);
  void stats(std::uint64_t token, const std::vector<double>& values);
  void test_completed(std::uint64_t token, bool good);
  void command_ignored(std::string_view command, const std::string& id);
  std::uint64_t last_notice() const { return last_notice_; }

 private:
  void give(ServerRequest& request, Command command);
  void send(ServerRequest& request);
  void settle();
  bool can_send_again(const ServerRequest& request);

  // How many calls the runs of a group were seen to make.
  struct Calls {
    int runs = 0;
    int fewest = 0;
    int max = 0;
    void add(int calls) {
      fewest = runs == 0 ? calls : std::min(fewest, calls);
      max = std::max(max, calls);
      ++runs;
    }
  };

  Engine& link_;
  EngineEvents& events_;
  std::vector<ServerRequest*> runs_;  // in the order they were started
  std::unordered_map<std::string, ServerRequest*> by_id_;
  std::map<const RequestClass*, Calls> calls_;
  std::uint64_t last_notice_ = 0;
  std::uint64_t sent_ = 0;       // commands and questions so far
  std::uint64_t confirmed_ = 0;  // up to here all that was sent is known to have arrived
  std::uint64_t fence_ = 0;      // gauges that close the backlog
  std::uint64_t testing_ = 0;
  bool settled_ = false;  // linked, and the backlog is read
  bool known_ = false;    // a HELLO has come
};

}  // namespace myrtlecroft::service
