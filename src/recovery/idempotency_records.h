// State machine of a server's keyed requests, one state for each key, which is restored from the durable
// records after a crash. It only decides: the store writes the records, and the service runs and answers the
// requests. Called on the loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::recovery {

// State of one key.
enum class State {
  kUnknown,          // no valid record of the key
  kRecordingIntent,  // the intent is being written
  kIntentDurable,    // the intent is on the disk: the request may run or is running
  kOutcomeUnknown,   // an earlier incarnation left an intent without outcome: it may have run
  kCompleted,        // the request ran successfully; its result is known
  kFailed            // the request ran and did not complete
};

// Input of handle() for one key.
enum class Event {
  kRequested,            // a request or a retry with this key is to run
  kRequestedDiskFailed,  // the same, while the disk accepts no records
  kWriteDurable,         // the latest write is on the disk
  kWriteLost,            // the latest write failed, and may or may not be on the disk
  kRunCompleted,
  kRunFailed,
  kNeverRan,      // reported by the engine, or the request was rejected before its start
  kWindowExpired  // the deduplication window is over
};

// What the caller of handle() must do next.
enum class Action {
  kNone,
  kRecordIntent,  // write the intent; run the request when it is durable
  kRun,
  kReject,         // it has not run, and its intent can't be made durable now
  kCoalesce,       // wait for the run in progress
  kAnswer,         // with the stored result
  kFail,           // it may have run: neither run it again nor reject it as not run
  kRecordOutcome,  // write the outcome
  kEraseIntent,
  kForget  // the key's entry was removed
};

// The states of all keys. Not thread-safe.
class IdempotencyRecords {
 public:
  struct Entry {
    State state = State::kUnknown;
    Nanos window = 0;    // deduplication window
    std::string result;  // set in kCompleted, until forget_result()
  };
  struct Details {
    Nanos window = 0;           // deduplication window, for kRequested
    std::string_view result{};  // for kRunCompleted
  };

  // Applies the event to the key's state and returns the action for the caller; kNone if the event does not
  // apply.
  Action handle(const std::string& key, Event event, const Details& details);
  Action handle(const std::string& key, Event event) { return handle(key, event, Details{}); }
  State state(const std::string& key) const;
  // Returns nullptr for a key in kUnknown.
  const Entry* find(const std::string& key) const;
  std::size_t size() const { return entries_.size(); }

  // Frees the memory of the result, of which the service has its own copy.
  void forget_result(const std::string& key);
  // Returns the record to store for the key in its present state: an intent or an outcome. Empty for
  // kUnknown.
  std::string encoded(const std::string& key) const;

  enum class RestoreResult {
    kRestored,
    kUnknownFormat  // written by a newer version: the key enters kOutcomeUnknown
  };
  // Restores the key's state from a record that an earlier incarnation stored.
  RestoreResult restore(const std::string& key, std::string_view record, Nanos window);

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace myrtlecroft::recovery
