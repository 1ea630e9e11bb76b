// The format of hint files. A hint file lists the keys of a sealed segment and the locations of their
// records, so that recovery need not scan the segment. Hint files are not synced: if one is lost or torn, the
// segment is scanned. These functions do no I/O and may be called on any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/record_index.h"

namespace myrtlecroft::store {

// The key and location of one record of the segment.
struct Hint {
  std::string key;
  RecordLocation location;
};

// Identifies the segment that a hint file describes. A hint file is valid only if all three values match.
struct HintedSegment {
  std::uint64_t number = 0;
  std::uint64_t salt = 0;
  std::uint64_t bytes = 0;  // size when the segment was sealed
};

// Returns the content of the segment's hint file.
std::string serialize_hints(const HintedSegment& segment, const std::vector<Hint>& hints);
// Returns nothing if the file is damaged, has another format version, or doesn't match the segment.
std::optional<std::vector<Hint>> parse_hints(std::string_view file, const HintedSegment& segment);

}  // namespace myrtlecroft::store
