// The state machine of one request: its phases, the events that change the phase, and the action of each
// transition.
#pragma once

#include <optional>

#include "myrtlecroft/request.h"

namespace myrtlecroft::overload {

// Events in the life of a request.
enum class RequestEvent {
  kAdmitted,
  kJoinsOriginal,  // a retry of a request that was admitted before
  kRejected,
  kStarted,
  kNeedsCall,  // the run waits for a dependency call
  kCallIssued,
  kCallSkipped,
  kCallOk,
  kCallNeverRan,  // the call was not executed
  kCallLost,      // no reply: the call may have been executed
  kRunEnded,
  kTimedOut,
  kCallerDisconnected
};

// Actions of a transition, carried out by Controller::Core.
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
  kCountLostCall,  // and awaits the dependency again
  kFinish,
  kAbandon,        // answers with a failure while the work goes on
  kFailUnstarted,  // answers a request that has not started with a failure
  kDisconnect,     // the caller does not wait for the answer any more
  kLeaveQueue
};

// The phase and action that follow from an event.
struct RequestTransition {
  Phase next;
  RequestAction action;
};

// The transition for an event in a phase; nullopt if the event changes nothing in that phase.
std::optional<RequestTransition> request_transition(Phase phase, RequestEvent event);

}  // namespace myrtlecroft::overload
