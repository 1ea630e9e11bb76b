// One request of a server, used on the loop's thread. The listener fills in the data that it received and
// gets the answer. The engine session and the dependency calls keep their state of the request in it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::service {

// The kinds of final answers. Only kRejected says that the request did not run.
enum class Answer { kCompleted, kRejected, kFailed };

// The final answer to a request or health check.
struct FinalAnswer {
  Answer kind = Answer::kFailed;
  std::string_view result{};  // for kCompleted
  bool no_failover = false;   // an attempt at another server would not succeed either
  Nanos retry_after = 0;      // 0: no advice
  bool unrecognized = false;  // the engine does not know the request, or its id or key belongs to another
};

// Receives the single final answer of a request or health check. It must not call the service from answer().
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void answer(const FinalAnswer& answer) = 0;
};

// A command to the engine about one request.
enum class Command { kNone, kRun, kFeed, kSkip };

// What is known about the arrival of a command at the engine.
enum class Delivery {
  kUnsent,
  kSent,     // on the current link, or confirmed on an earlier one
  kUnknown,  // sent on a link that broke before the engine confirmed it
};

struct KeyEntry;

// The call to the dependency that a run waits for.
struct DependencyCall {
  bool active = false;
  Nanos started = 0;
  Nanos deadline = 0;
  std::optional<Outcome> result;  // set if it is known, but reported only at the deadline
};

// A Request with the state that the service keeps for it.
struct ServerRequest : Request {
  // Set by the listener.
  std::string id;    // of this attempt
  std::string body;  // handed to the engine with a run command that must not be sent twice
  std::string key;   // shared by attempts of one keyed request, or by reads of one subject; empty: none
  AnswerSink* sink = nullptr;  // null once it is answered or its connection is gone

  // Set by the engine session.
  Command command = Command::kNone;  // last one sent or to be sent; kNone once a notice answered it
  Delivery delivery = Delivery::kUnsent;
  std::uint64_t command_number = 0;  // the command's number among all commands sent
  std::uint64_t call_notice = 0;     // the notice that asked for the call that the run waits for
  std::string payload;               // the body of the call, then its reply until it is sent
  bool unknown_to_engine = false;    // the engine reported that it does not know the request
  bool notices_lost = false;         // since its last notice, for good; perhaps that of its end
  // Whether the notice of the run's end may never come.
  bool end_is_in_doubt() const {
    return notices_lost || (command == Command::kRun && delivery == Delivery::kUnknown);
  }

  DependencyCall dependency_call;

  bool intent_recorded = false;  // its intent is in the idempotency log, or being written

  KeyEntry* entry = nullptr;  // its own entry, or that of its original; null: none
};

// Valid for requests that Service passed to its Controller.
inline ServerRequest& server_request(Request& request) { return static_cast<ServerRequest&>(request); }

}  // namespace myrtlecroft::service
