// What a durable record says of an request that must not run twice, over the crash of its server. Decisions
// only: the store writes, the service runs and answers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::recovery {

enum class State {
  kUnknown,    // not a word of it on the disk, or one that binds nobody
  kIntending,  // its intent is being written
  kIntended,   // its intent is on the disk: it may run, and runs
  kPerhaps,    // an intent without an outcome from an earlier incarnation: it may have run
  kDone,       // it ran to a good end, and its result is known
  kFailed      // it ran to another end
};

enum class Input {
  kWanted,      // it, or a repeat of it, is to run
  kWantedSick,  // the same while the disk takes nothing
  kDurable,     // what was written last is on the disk
  kLost,        // it is not known to be
  kEndedWell,
  kEndedBadly,
  kNeverRan,  // the engine says so, or it was rejected before it was started
  kOver       // its window
};

enum class Idempotency {
  kNone,
  kIntend,  // write the intent; run when it is durable
  kRun,
  kReject,     // it has not run, and can't be protected now: come back later
  kJoin,       // wait for the one that runs
  kAnswer,     // from the known result
  kTerminate,  // it may have run: never again, and no word that it has not
  kKeep,       // write the outcome
  kTakeBack,   // drop the intent
  kForget
};

class RunRecords {
 public:
  struct Entry {
    State state = State::kUnknown;
    Nanos window = 0;
    std::string result;  // of kDone
  };

  // One step by the table. `window` counts with kWanted, `result` with kEndedWell.
  Idempotency take(const std::string& key, Input input, Nanos window = 0, std::string_view result = {});
  State state(const std::string& key) const;
  const Entry* find(const std::string& key) const;
  std::size_t size() const { return entries_.size(); }

  // Its result is kept elsewhere, by the key table.
  void forget_result(const std::string& key);
  // What is to be written of a key in its state: its intent, or its outcome.
  std::string record_of(const std::string& key) const;
  // A record that the start found. False: it makes no sense to this version, and the key is taken for one
  // that may have run.
  bool recovered(const std::string& key, std::string_view record, Nanos window);

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace myrtlecroft::recovery
