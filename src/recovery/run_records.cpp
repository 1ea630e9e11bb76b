#include "recovery/run_records.h"

namespace myrtlecroft::recovery {
namespace {

constexpr char kIntent = 'I';
constexpr char kGood = 'G';
constexpr char kBad = 'B';

struct Row {
  State state;
  Input input;
  State next;
  Idempotency idempotency;
};

// What is not named here changes nothing and has no effect: a word on a write that no longer matters, or an
// end told twice.
constexpr Row kTable[] = {
    {State::kUnknown, Input::kWanted, State::kIntending, Idempotency::kIntend},
    {State::kUnknown, Input::kWantedSick, State::kUnknown, Idempotency::kReject},
    {State::kIntending, Input::kWanted, State::kIntending, Idempotency::kJoin},
    {State::kIntending, Input::kWantedSick, State::kIntending, Idempotency::kJoin},
    {State::kIntending, Input::kDurable, State::kIntended, Idempotency::kRun},
    // The intent may be on the disk after all. In this life it is known not to have run; the next one will
    // take it for one that may have, which costs its repeats a termination.
    {State::kIntending, Input::kLost, State::kUnknown, Idempotency::kReject},
    {State::kIntending, Input::kNeverRan, State::kUnknown, Idempotency::kTakeBack},
    {State::kIntending, Input::kOver, State::kUnknown, Idempotency::kForget},
    {State::kIntended, Input::kWanted, State::kIntended, Idempotency::kJoin},
    {State::kIntended, Input::kWantedSick, State::kIntended, Idempotency::kJoin},
    {State::kIntended, Input::kEndedWell, State::kDone, Idempotency::kKeep},
    {State::kIntended, Input::kEndedBadly, State::kFailed, Idempotency::kKeep},
    {State::kIntended, Input::kNeverRan, State::kUnknown, Idempotency::kTakeBack},
    {State::kIntended, Input::kOver, State::kUnknown, Idempotency::kForget},
    {State::kPerhaps, Input::kWanted, State::kPerhaps, Idempotency::kTerminate},
    {State::kPerhaps, Input::kWantedSick, State::kPerhaps, Idempotency::kTerminate},
    {State::kPerhaps, Input::kOver, State::kUnknown, Idempotency::kForget},
    // An outcome whose write is lost is known here all the same; the next life finds the intent alone.
    {State::kDone, Input::kWanted, State::kDone, Idempotency::kAnswer},
    {State::kDone, Input::kWantedSick, State::kDone, Idempotency::kAnswer},
    {State::kDone, Input::kOver, State::kUnknown, Idempotency::kForget},
    {State::kFailed, Input::kWanted, State::kFailed, Idempotency::kTerminate},
    {State::kFailed, Input::kWantedSick, State::kFailed, Idempotency::kTerminate},
    {State::kFailed, Input::kOver, State::kUnknown, Idempotency::kForget},
};

}  // namespace

Idempotency RunRecords::take(const std::string& key, Input input, Nanos window, std::string_view result) {
  auto place = entries_.find(key);
  State state = place == entries_.end() ? State::kUnknown : place->second.state;
  for (const Row& row : kTable) {
    if (row.state != state || row.input != input) continue;
    if (row.next == State::kUnknown) {
      if (place != entries_.end()) entries_.erase(place);
      return row.idempotency;
    }
    Entry& entry = entries_[key];
    entry.state = row.next;
    if (row.idempotency == Idempotency::kIntend) entry.window = window;
    if (input == Input::kEndedWell) entry.result = result;
    return row.idempotency;
  }
  return Idempotency::kNone;
}

void RunRecords::forget_result(const std::string& key) {
  auto place = entries_.find(key);
  if (place != entries_.end()) place->second.result = {};
}

State RunRecords::state(const std::string& key) const {
  const Entry* entry = find(key);
  return entry ? entry->state : State::kUnknown;
}

const RunRecords::Entry* RunRecords::find(const std::string& key) const {
  auto place = entries_.find(key);
  return place == entries_.end() ? nullptr : &place->second;
}

std::string RunRecords::record_of(const std::string& key) const {
  const Entry* entry = find(key);
  if (!entry) return "";
  if (entry->state == State::kDone) return kGood + entry->result;
  return std::string(1, entry->state == State::kFailed ? kBad : kIntent);
}

bool RunRecords::recovered(const std::string& key, std::string_view record, Nanos window) {
  Entry& entry = entries_[key];
  entry.window = window;
  entry.state = State::kPerhaps;
  if (record.empty()) return false;
  if (record[0] == kGood) {
    entry.state = State::kDone;
    entry.result = record.substr(1);
  } else if (record[0] == kBad) {
    entry.state = State::kFailed;
  } else if (record[0] != kIntent) {
    return false;
  }
  return true;
}

}  // namespace myrtlecroft::recovery
