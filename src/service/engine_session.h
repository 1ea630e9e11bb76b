// The state of the engine protocol across reconnections of the link: which notices were read and which
// commands are known to have arrived. No I/O. All calls on the loop's thread.
//
// After the link broke it is unknown which of the last commands arrived. A command is known to have arrived
// once the answer to a later gauge query was received. On a new link nothing is sent until the backlog of
// notices is read; the answer to a gauge query sent right after HELLO marks its end. Then the commands that
// were never sent are sent. Commands that were sent, but are not known to have arrived, are treated as
// follows.
//
// A run of an idempotent request and a skip (which names its notice) are sent again. A run that must not
// happen twice is sent again if all observed runs of its class make a call: if it had arrived, it could not
// have ended without a notice that asks for a call. A reply is sent again if no observed run of its class
// makes more than one call, since it can't be mistaken for the reply to the next call; otherwise the call is
// skipped where the class allows that. Any other command is left pending: a notice or the request's deadline
// ends it.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "service/ports.h"

namespace myrtlecroft::service {

// A message from the engine about one run: it ended, it needs a dependency call, or a note.
struct Notice {
  enum class Kind { kDone, kNeed, kNote };
  Kind kind = Kind::kNote;
  std::uint64_t number = 0;        // rises with each notice
  std::string id;                  // of the request
  Outcome outcome = Outcome::kOk;  // of kDone
  std::string payload;             // the result of the run, or the body of the call
};

// Receives the events of the engine.
class EngineEvents {
 public:
  virtual ~EngineEvents() = default;
  // The first HELLO was received. `age`: how long the engine has been in that state.
  virtual void engine_up(bool booting, Nanos age) = 0;
  virtual void run_needs_call(ServerRequest& request) = 0;
  virtual void run_ended(ServerRequest& request, Outcome outcome, std::string_view result) = 0;
  virtual void gauges_received(const std::vector<double>& values) = 0;
  virtual void test_completed(bool passed) = 0;
};

// Sends commands to the engine and matches its notices to requests.
class EngineSession {
 public:
  // Both arguments must outlive the session.
  EngineSession(Engine& link, EngineEvents& events) : link_(link), events_(events) {}

  void run(ServerRequest& request);
  void deliver_reply(ServerRequest& request, std::string reply);
  void skip(ServerRequest& request);
  // Drops a request: its later notices are ignored.
  void forget(ServerRequest& request);
  void request_gauges();
  // Asks the engine for a self-test. Returns false, without asking, while the link is not ready.
  bool test();

  // Called by the link.
  // Stops sending on this link, and asks for the gauges that confirm the commands sent so far.
  void stop_sending();
  bool all_commands_confirmed() const {
    return !backlog_read_ && last_confirmed_number_ == last_sent_number_;
  }
  void link_established() { link_.attach(last_notice_); }
  void link_lost();
  void hello(bool booting, Nanos age);
  void notice(const Notice& notice);
  void stats(std::uint64_t token, const std::vector<double>& values);
  void test_completed(std::uint64_t token, bool passed);
  void command_ignored(std::string_view command, const std::string& id);
  std::uint64_t last_notice() const { return last_notice_; }

 private:
  void issue_command(ServerRequest& request, Command command);
  void send(ServerRequest& request);
  void resolve_pending_commands();
  bool can_send_again(const ServerRequest& request);

  // The numbers of dependency calls that the observed runs of a request class made.
  struct ObservedCalls {
    int runs = 0;
    int min_calls = 0;
    int max_calls = 0;
    void add(int calls) {
      min_calls = runs == 0 ? calls : std::min(min_calls, calls);
      max_calls = std::max(max_calls, calls);
      ++runs;
    }
  };

  Engine& link_;
  EngineEvents& events_;
  std::vector<ServerRequest*> runs_;  // in the order of their start
  std::unordered_map<std::string, ServerRequest*> by_id_;
  std::map<const RequestClass*, ObservedCalls> observed_calls_;
  std::uint64_t last_notice_ = 0;
  std::uint64_t last_sent_number_ = 0;       // number of the last command or query sent
  std::uint64_t last_confirmed_number_ = 0;  // commands and queries up to it are known to have arrived
  std::uint64_t backlog_end_token_ = 0;      // of the gauge query that ends the backlog; 0: none
  std::uint64_t test_token_ = 0;             // of the pending self-test; 0: none
  bool backlog_read_ = false;                // the link is up and its backlog of notices is read
  bool hello_received_ = false;              // on any link
};

}  // namespace myrtlecroft::service
