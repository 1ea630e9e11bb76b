// The byte format of a record.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

RC_GTEST_PROP(RecordPropertyTest, NoBytesAreReadBeyondTheEnd, (const std::string& noise)) {
  std::string bytes;
  append_record(bytes, {.sequence = 1, .window = kWindow, .key = "k", .value = noise},
                {.segment_salt = 5, .offset = 32});
  ParsedRecord parsed = read_record(bytes, {.segment_salt = 5, .offset = 32});
  RC_ASSERT(parsed.status == ParseStatus::kRecord);
  RC_ASSERT(parsed.size == bytes.size());
  RC_ASSERT(parsed.record.value == noise);
  RC_ASSERT(read_record(bytes, {.segment_salt = 5, .offset = 33}).status == ParseStatus::kNoRecord);
  RC_ASSERT(read_record(bytes, {.segment_salt = 6, .offset = 32}).status == ParseStatus::kNoRecord);
  for (std::size_t cut = 0; cut < bytes.size(); cut += 1 + bytes.size() / 20) {
    std::string_view front = std::string_view(bytes).substr(0, cut);
    RC_ASSERT(read_record(front, {.segment_salt = 5, .offset = 32}).status == ParseStatus::kIncomplete);
  }
  RC_ASSERT(read_record(noise, {.segment_salt = 5, .offset = 32}).status != ParseStatus::kRecord);
}

}  // namespace
}  // namespace myrtlecroft::store
