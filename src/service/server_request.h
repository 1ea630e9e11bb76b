// One request of a server, on the loop's thread. The listener fills in what it received and gets the answer;
// the engine session and the dependency calls keep their state of the request here.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::service {

enum class Answer { kCompleted, kRejected, kFailed };

struct FinalAnswer {
  Answer kind = Answer::kFailed;
  std::string_view result{};  // of kCompleted
  bool no_failover = false;
  Nanos retry_after = 0;      // 0: none
  bool unrecognized = false;  // the engine knows of no such request, or another one owns its id or key
};

// Receives the one final answer of a request or health check. It must not call back.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void answer(const FinalAnswer& answer) = 0;
};

enum class Command { kNone, kRun, kFeed, kSkip };  // to the engine

struct KeyEntry;

// The call to the dependency that a run waits for.
struct DependencyCall {
  bool active = false;
  Nanos started = 0;
  Nanos deadline = 0;
  std::optional<Outcome> result;  // known already, and reported at the deadline
};

struct ServerRequest : Request {
  // From the listener.
  std::string id;  // of this attempt
  std::string body;
  std::string key;  // shared by attempts of one keyed request, or by reads of one subject; empty: none
  AnswerSink* sink = nullptr;  // null once it is answered or its connection is gone

  // Of the engine session.
  Command command = Command::kNone;  // sent last, or to be sent, and not known to be done
  bool sent = false;                 // that command was sent, perhaps on a link that broke
  bool in_doubt = false;             // whether it arrived is not known, and it may not be sent again
  std::uint64_t sent_as = 0;         // the command's number among all that were sent
  std::uint64_t at_notice = 0;       // the notice that named the call the run waits for
  std::string payload;               // of the call, then its reply
  bool unknown_to_engine = false;    // the engine says that it received no such request

  DependencyCall dependency_call;

  bool intent_recorded = false;  // its intent is in the idempotency log, or being written

  KeyEntry* entry = nullptr;  // its own, or that of the request it is a retry of
};

inline ServerRequest& server_request(Request& request) { return static_cast<ServerRequest&>(request); }

}  // namespace myrtlecroft::service
