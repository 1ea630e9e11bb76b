// What a server's durable records say about its keyed requests, over crashes: a table of states for each key.
// Decisions only, on the loop's thread: the store writes the records, the service runs and answers requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::recovery {

// Of one key.
enum class State {
  kUnknown,          // no record of it that counts
  kRecordingIntent,  // its intent is being written
  kIntentDurable,    // its intent is on the disk: it may run, or is running
  kOutcomeUnknown,   // an intent without an outcome from an earlier incarnation: it may have run
  kCompleted,        // it ran successfully, and its result is known
  kFailed            // it ran and did not complete
};

enum class Event {
  kRequested,            // a request of the key, or a retry of one, is to run
  kRequestedDiskFailed,  // the same while the disk accepts no records
  kWriteDurable,         // what was written last is on the disk
  kWriteLost,            // it is not known to be
  kRunCompleted,
  kRunFailed,
  kNeverRan,      // the engine says so, or the request was rejected before it was started
  kWindowExpired  // of the deduplication
};

// What the caller of handle() is to do.
enum class Action {
  kNone,
  kRecordIntent,  // write the intent; run the request when it is durable
  kRun,
  kReject,         // it has not run, and can't be protected against a second run now
  kCoalesce,       // wait for the run that is under way
  kAnswer,         // from the known result
  kFail,           // it may have run: neither run it again nor say that it has not run
  kRecordOutcome,  // write the outcome
  kEraseIntent,
  kForget  // nothing is known of the key any more
};

class IdempotencyRecords {
 public:
  struct Entry {
    State state = State::kUnknown;
    Nanos window = 0;
    std::string result;  // of kCompleted, until forget_result()
  };
  struct Details {
    Nanos window = 0;           // of kRequested
    std::string_view result{};  // of kRunCompleted
  };

  // One step of the key's state by the table.
  Action handle(const std::string& key, Event event, const Details& details);
  Action handle(const std::string& key, Event event) { return handle(key, event, Details{}); }
  State state(const std::string& key) const;
  // Null: kUnknown.
  const Entry* find(const std::string& key) const;
  std::size_t size() const { return entries_.size(); }

  // Frees the result, which the service keeps as well.
  void forget_result(const std::string& key);
  // What is to be stored of the key in its state: its intent, or its outcome.
  std::string encoded(const std::string& key) const;

  enum class RestoreResult {
    kRestored,
    kUnknownFormat  // of a newer version: the key's outcome counts as unknown
  };
  // Takes over a record that an earlier incarnation stored.
  RestoreResult restore(const std::string& key, std::string_view record, Nanos window);

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace myrtlecroft::recovery
