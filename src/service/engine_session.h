// The state of the engine protocol across reconnections of the link: which notices were read and which
// commands are known to have arrived. No I/O. All calls on the loop's thread.
//
// After the link broke it is unknown which of the last commands arrived. A command is known to have arrived
// once the answer to a later gauge query was received. On a new link nothing is sent until the backlog of
// notices is read; the answer to a gauge query sent right after HELLO marks its end. Then the commands that
// were never sent are sent; a command is not sent on a link that is known to be broken. Commands that were
// sent, but are not known to have arrived, are treated as follows.
//
// A run of an idempotent request and a skip (which names its notice) are sent again. No other command is: the
// engine keeps no results, so a second RUN runs a request again whose run has ended, and a second FEED, which
// does not name its call, is taken for the reply to the next call. A notice that would rule this out may be
// on its way, whatever earlier runs did. A reply in doubt is replaced by a skip where the class can do
// without the call. Any other command is left pending: a notice or the request's deadline ends it. The body
// of a run and a reply are handed over with their first copy, so that there is nothing to send again.
//
// Notices are numbered without gaps. A missing number is a notice that was lost for good: the engine keeps
// only the last ones for a server that is away, and a line may be damaged each time it is sent. A run that
// may have ended in a lost notice is given up once its caller is answered, unless a later notice shows that
// it goes on.
#pragma once

#include <optional>
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

// What became of the commands in doubt when a new link was ready.
struct ResolvedCommands {
  int sent_again = 0;
  int skipped = 0;  // replies that were replaced by a skip
  int pending = 0;  // wait for a notice or the request's deadline
  int ended = 0;    // runs without a caller, given up
  int total() const { return sent_again + skipped + pending + ended; }
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
  // A new link is ready, after one broke with commands in doubt.
  virtual void commands_resolved(const ResolvedCommands& resolved) = 0;
  // The engine will not send `count` notices again; the ends of `runs_in_doubt` runs may be among them.
  virtual void notices_lost(std::uint64_t count, int runs_in_doubt) = 0;
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
  // The commands that may be sent although an earlier copy may have arrived.
  enum class RepeatableCommand { kIdempotentRun, kSkip };

  bool can_send() const { return backlog_read_ && link_.is_open(); }
  void issue_command(ServerRequest& request, Command command);
  void send_first_copy(ServerRequest& request);
  void send_again(ServerRequest& request, RepeatableCommand command);
  void record_sent(ServerRequest& request);
  void handle_notice(const Notice& notice);
  void record_lost_notices(std::uint64_t count);
  void end_answered_runs_in_doubt();
  std::vector<std::string> run_ids() const;
  void resolve_pending_commands();
  void resolve(ServerRequest& request, ResolvedCommands& resolved);
  static std::optional<RepeatableCommand> repeatable_command(const ServerRequest& request);

  Engine& link_;
  EngineEvents& events_;
  std::vector<ServerRequest*> runs_;  // in the order of their start
  std::unordered_map<std::string, ServerRequest*> by_id_;
  std::uint64_t last_notice_ = 0;
  std::uint64_t last_sent_number_ = 0;       // number of the last command or query sent
  std::uint64_t last_confirmed_number_ = 0;  // commands and queries up to it are known to have arrived
  std::uint64_t backlog_end_token_ = 0;      // of the gauge query that ends the backlog; 0: none
  std::uint64_t test_token_ = 0;             // of the pending self-test; 0: none
  bool backlog_read_ = false;                // the link is up and its backlog of notices is read
  bool hello_received_ = false;              // on any link
};

}  // namespace myrtlecroft::service
