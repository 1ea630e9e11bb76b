// The states of one request, the events that move it and the action of each move, as a table.
#pragma once

#include <optional>

#include "myrtlecroft/request.h"

namespace myrtlecroft::overload {

enum class RequestEvent {
  kAdmitted,
  kJoinsOriginal,  // a retry of a request that was admitted before
  kRejected,
  kStarted,
  kNeedsCall,  // the run waits for a dependency call
  kCallIssued,
  kCallSkipped,
  kCallOk,
  kCallNeverRan,
  kCallLost,  // no reply: the call may have had its effect
  kRunEnded,
  kTimedOut,
  kCallerDisconnected
};

enum class RequestAction {
  kEnqueue,
  kCoalesce,
  kReject,
  kStart,
  kAwaitDependency,
  kIssueCall,
  kSkipCall,
  kResume,         // after a call that succeeded
  kAwaitAgain,     // after a call that never ran
  kCountLostCall,  // and await the dependency again
  kFinish,
  kAbandon,  // answers with a failure, whatever still runs
  kFailUnstarted,
  kDisconnect,  // nobody waits for the answer any more
  kLeaveQueue
};

struct RequestTransition {
  Phase next;
  RequestAction action;
};

// std::nullopt where the event changes nothing in that phase.
std::optional<RequestTransition> request_transition(Phase phase, RequestEvent event);

}  // namespace myrtlecroft::overload
