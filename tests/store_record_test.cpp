// Property test of the record format: a record is parsed only at its own position and only if it is complete.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

RC_GTEST_PROP(RecordPropertyTest, RecordIsParsedOnlyIfCompleteAndAtItsPosition,
              (const std::string& arbitrary_bytes)) {
  std::string bytes;
  append_record(bytes, {.sequence = 1, .window = kWindow, .key = "k", .value = arbitrary_bytes},
                {.segment_salt = 5, .offset = 32});
  ParsedRecord parsed = parse_record(bytes, {.segment_salt = 5, .offset = 32});
  RC_ASSERT(parsed.status == ParseStatus::kRecord);
  RC_ASSERT(parsed.size == bytes.size());
  RC_ASSERT(parsed.record.value == arbitrary_bytes);
  RC_ASSERT(parse_record(bytes, {.segment_salt = 5, .offset = 33}).status == ParseStatus::kNoRecord);
  RC_ASSERT(parse_record(bytes, {.segment_salt = 6, .offset = 32}).status == ParseStatus::kNoRecord);
  for (std::size_t length = 0; length < bytes.size(); length += 1 + bytes.size() / 20) {
    std::string_view truncated = std::string_view(bytes).substr(0, length);
    RC_ASSERT(parse_record(truncated, {.segment_salt = 5, .offset = 32}).status == ParseStatus::kIncomplete);
  }
  RC_ASSERT(parse_record(arbitrary_bytes, {.segment_salt = 5, .offset = 32}).status != ParseStatus::kRecord);
}

}  // namespace
}  // namespace myrtlecroft::store
