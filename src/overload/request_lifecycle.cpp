#include "overload/request_lifecycle.h"

#include <array>

namespace myrtlecroft::overload {
namespace {

using Event = RequestEvent;
using Action = RequestAction;

struct Row {
  Phase phase;
  RequestEvent event;
  Phase next;
  RequestAction action;
};

constexpr std::array<Row, 27> kTransitions = {{
    {Phase::kReceived, Event::kAdmitted, Phase::kQueued, Action::kEnqueue},
    {Phase::kReceived, Event::kJoinsOriginal, Phase::kCoalesced, Action::kCoalesce},
    {Phase::kReceived, Event::kRejected, Phase::kDone, Action::kReject},
    {Phase::kReceived, Event::kTimedOut, Phase::kDone, Action::kFailUnstarted},
    {Phase::kQueued, Event::kStarted, Phase::kRunning, Action::kStart},
    {Phase::kQueued, Event::kRejected, Phase::kDone, Action::kReject},
    {Phase::kQueued, Event::kTimedOut, Phase::kDone, Action::kFailUnstarted},
    {Phase::kQueued, Event::kCallerDisconnected, Phase::kDone, Action::kLeaveQueue},
    {Phase::kCoalesced, Event::kCallerDisconnected, Phase::kDone, Action::kLeaveQueue},
    {Phase::kRunning, Event::kNeedsCall, Phase::kAwaitingDependency, Action::kAwaitDependency},
    {Phase::kRunning, Event::kRunEnded, Phase::kDone, Action::kFinish},
    {Phase::kRunning, Event::kTimedOut, Phase::kAbandoned, Action::kAbandon},
    {Phase::kRunning, Event::kCallerDisconnected, Phase::kAbandoned, Action::kDisconnect},
    {Phase::kAwaitingDependency, Event::kCallIssued, Phase::kCalling, Action::kIssueCall},
    {Phase::kAwaitingDependency, Event::kCallSkipped, Phase::kRunning, Action::kSkipCall},
    {Phase::kAwaitingDependency, Event::kTimedOut, Phase::kAbandoned, Action::kAbandon},
    {Phase::kAwaitingDependency, Event::kCallerDisconnected, Phase::kAbandoned, Action::kDisconnect},
    {Phase::kAwaitingDependency, Event::kRunEnded, Phase::kDone, Action::kFinish},
    {Phase::kCalling, Event::kCallOk, Phase::kRunning, Action::kResume},
    {Phase::kCalling, Event::kCallNeverRan, Phase::kAwaitingDependency, Action::kAwaitAgain},
    {Phase::kCalling, Event::kCallLost, Phase::kAwaitingDependency, Action::kCountLostCall},
    {Phase::kCalling, Event::kTimedOut, Phase::kAbandoned, Action::kAbandon},
    {Phase::kCalling, Event::kCallerDisconnected, Phase::kAbandoned, Action::kDisconnect},
    {Phase::kCalling, Event::kRunEnded, Phase::kDone, Action::kFinish},
    {Phase::kCoalesced, Event::kRunEnded, Phase::kDone, Action::kFinish},
    {Phase::kCoalesced, Event::kTimedOut, Phase::kDone, Action::kFailUnstarted},
    {Phase::kAbandoned, Event::kRunEnded, Phase::kDone, Action::kFinish},
}};

}  // namespace

std::optional<RequestTransition> request_transition(Phase phase, RequestEvent event) {
  for (const Row& row : kTransitions) {
    if (row.phase == phase && row.event == event) return RequestTransition{row.next, row.action};
  }
  return std::nullopt;
}

}  // namespace myrtlecroft::overload
