// A store's folder read over without opening it: for the tool. Writes nothing, and may be used beside a
// process that has the store open.
#pragma once

#include <map>

#include "store/store.h"

namespace myrtlecroft::store {

struct SurveyedSegment {
  std::uint64_t number = 0;
  std::uint32_t version = 0;
  bool named = true;  // the manifest counts it
  bool head_good = true;
  bool hint = false;  // one is there
  std::uint64_t bytes = 0;
  std::uint64_t records = 0;
  std::uint64_t current = 0;  // of them, the newest of their keys
  std::uint64_t dropped = 0;  // of them, drops
  std::uint64_t skipped = 0;  // bytes that are no record
  bool tail_only = true;      // and all of these lie behind the last record
};

struct StoreInspector {
  Manifest manifest;
  std::vector<SurveyedSegment> segments;
  std::uint64_t keys = 0;  // known, dropped ones left out
  std::uint64_t bytes = 0;
  Nanos time = 0;  // the last that was written
  // Damage: a head, a manifest, or bytes amid records. A torn tail is none: a crash leaves one.
  bool damaged() const;
};

StoreInspector survey(Disk& disk);

// The newest record of every key, in the order of their sequence; what is over is left out.
void for_each_current_record(Disk& disk,
                             const std::function<void(const Record&, std::uint64_t segment)>& tell);

}  // namespace myrtlecroft::store
