// Hint files: a sealed segment's keys and where their records lie, so that a start need not read the segment.
// They are not synced: a lost or torn one costs a scan. No I/O; called by the store's thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/record_index.h"

namespace myrtlecroft::store {

// One record of the segment.
struct Hint {
  std::string key;
  RecordLocation location;
};

// The segment that a hint file describes, as it was when it was sealed.
struct HintedSegment {
  std::uint64_t number = 0;
  std::uint64_t salt = 0;
  std::uint64_t bytes = 0;
};

std::string write_hints(const HintedSegment& segment, const std::vector<Hint>& hints);
// None: damaged, of another version, or not of this segment as it is now.
std::optional<std::vector<Hint>> read_hints(std::string_view file, const HintedSegment& segment);

}  // namespace myrtlecroft::store
