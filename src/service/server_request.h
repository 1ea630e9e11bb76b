// One request of a real server. The front fills in what it read and takes the answer; the client side
// (engine, database) keeps its part of the work here. The two meet nowhere else.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::service {

enum class Answer { kCompleted, kRejected, kFailed };

struct FinalAnswer {
  Answer kind = Answer::kFailed;
  std::string_view result{};  // of a completed one
  bool no_failover = false;
  Nanos retry_after = 0;
  bool unrecognized = false;  // the engine knows of no such request, or another one owns its id or key
};

// Where the one final answer goes. It must not call back.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void answer(const FinalAnswer& answer) = 0;
};

enum class Command { kNone, kRun, kFeed, kSkip };  // what the engine was last told to do

struct KeyEntry;

struct ServerRequest : Request {
  // From the front.
  std::string id;  // of this try
  std::string body;
  std::string key;             // what tries of one request, or reads of one subject, share; empty = none
  AnswerSink* sink = nullptr;  // null once it is answered or its connection is gone

  // Of the engine session.
  Command command = Command::kNone;  // not yet seen to be done
  bool sent = false;                 // that command went out, perhaps on a link that broke
  bool in_doubt = false;             // whether it arrived is not known, and it may not be sent again
  std::uint64_t sent_as = 0;         // its number among all that was sent
  std::uint64_t at_notice = 0;       // which told of the call that is waited for
  std::string payload;               // of the call, then its reply
  bool unknown = false;              // the engine says that no such request came to it

  // Of the call below.
  bool calling = false;
  Nanos call_since = 0;
  Nanos call_until = 0;
  std::optional<Outcome> call_verdict;  // known, and told at call_until

  bool intended = false;  // its intent is written down, or on its way there

  KeyEntry* entry = nullptr;  // its own, or of the one it repeats
};

}  // namespace myrtlecroft::service
