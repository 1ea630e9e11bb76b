#include "recovery/idempotency_records.h"

namespace myrtlecroft::recovery {
namespace {

// The first byte of a stored record. The result of a completed request follows it.
constexpr char kIntentTag = 'I';
constexpr char kCompletedTag = 'G';
constexpr char kFailedTag = 'B';

struct Transition {
  State state;
  Event event;
  State next;
  Action action;
};

// A pair of state and event that is not in the table changes nothing, for example the completion of an
// outdated write or a second end of one run.
constexpr Transition kTransitions[] = {
    {State::kUnknown, Event::kRequested, State::kRecordingIntent, Action::kRecordIntent},
    {State::kUnknown, Event::kRequestedDiskFailed, State::kUnknown, Action::kReject},
    {State::kRecordingIntent, Event::kRequested, State::kRecordingIntent, Action::kCoalesce},
    {State::kRecordingIntent, Event::kRequestedDiskFailed, State::kRecordingIntent, Action::kCoalesce},
    {State::kRecordingIntent, Event::kWriteDurable, State::kIntentDurable, Action::kRun},
    // The intent may still have reached the disk. This incarnation knows that the request has not run; the
    // next one would restore it as kOutcomeUnknown and fail its retries.
    {State::kRecordingIntent, Event::kWriteLost, State::kUnknown, Action::kReject},
    {State::kRecordingIntent, Event::kNeverRan, State::kUnknown, Action::kEraseIntent},
    {State::kRecordingIntent, Event::kWindowExpired, State::kUnknown, Action::kForget},
    {State::kIntentDurable, Event::kRequested, State::kIntentDurable, Action::kCoalesce},
    {State::kIntentDurable, Event::kRequestedDiskFailed, State::kIntentDurable, Action::kCoalesce},
    {State::kIntentDurable, Event::kRunCompleted, State::kCompleted, Action::kRecordOutcome},
    {State::kIntentDurable, Event::kRunFailed, State::kFailed, Action::kRecordOutcome},
    {State::kIntentDurable, Event::kNeverRan, State::kUnknown, Action::kEraseIntent},
    {State::kIntentDurable, Event::kWindowExpired, State::kUnknown, Action::kForget},
    {State::kOutcomeUnknown, Event::kRequested, State::kOutcomeUnknown, Action::kFail},
    {State::kOutcomeUnknown, Event::kRequestedDiskFailed, State::kOutcomeUnknown, Action::kFail},
    {State::kOutcomeUnknown, Event::kWindowExpired, State::kUnknown, Action::kForget},
    // If the write of an outcome is lost, this incarnation still knows the outcome; the next one finds only
    // the intent.
    {State::kCompleted, Event::kRequested, State::kCompleted, Action::kAnswer},
    {State::kCompleted, Event::kRequestedDiskFailed, State::kCompleted, Action::kAnswer},
    {State::kCompleted, Event::kWindowExpired, State::kUnknown, Action::kForget},
    {State::kFailed, Event::kRequested, State::kFailed, Action::kFail},
    {State::kFailed, Event::kRequestedDiskFailed, State::kFailed, Action::kFail},
    {State::kFailed, Event::kWindowExpired, State::kUnknown, Action::kForget},
};

const Transition* find_transition(State state, Event event) {
  for (const Transition& transition : kTransitions) {
    if (transition.state == state && transition.event == event) return &transition;
  }
  return nullptr;
}

}  // namespace

Action IdempotencyRecords::handle(const std::string& key, Event event, const Details& details) {
  const Transition* transition = find_transition(state(key), event);
  if (!transition) return Action::kNone;
  if (transition->next == State::kUnknown) {
    entries_.erase(key);
    return transition->action;
  }
  Entry& entry = entries_[key];
  entry.state = transition->next;
  if (transition->action == Action::kRecordIntent) entry.window = details.window;
  if (event == Event::kRunCompleted) entry.result = details.result;
  return transition->action;
}

void IdempotencyRecords::forget_result(const std::string& key) {
  auto found = entries_.find(key);
  if (found != entries_.end()) found->second.result = {};
}

State IdempotencyRecords::state(const std::string& key) const {
  const Entry* entry = find(key);
  return entry ? entry->state : State::kUnknown;
}

const IdempotencyRecords::Entry* IdempotencyRecords::find(const std::string& key) const {
  auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

std::string IdempotencyRecords::encoded(const std::string& key) const {
  const Entry* entry = find(key);
  if (!entry) return "";
  if (entry->state == State::kCompleted) return kCompletedTag + entry->result;
  return std::string(1, entry->state == State::kFailed ? kFailedTag : kIntentTag);
}

IdempotencyRecords::RestoreResult IdempotencyRecords::restore(const std::string& key, std::string_view record,
                                                              Nanos window) {
  Entry& entry = entries_[key];
  entry.window = window;
  entry.state = State::kOutcomeUnknown;
  if (record.empty()) return RestoreResult::kUnknownFormat;
  switch (record[0]) {
    case kCompletedTag:
      entry.state = State::kCompleted;
      entry.result = record.substr(1);
      return RestoreResult::kRestored;
    case kFailedTag:
      entry.state = State::kFailed;
      return RestoreResult::kRestored;
    case kIntentTag:
      return RestoreResult::kRestored;
    default:
      return RestoreResult::kUnknownFormat;
  }
}

}  // namespace myrtlecroft::recovery
