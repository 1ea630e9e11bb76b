// Encoding and decoding of shard assignments.
#include <gtest/gtest.h>

#include "report/load_report.h"

namespace myrtlecroft {
namespace {

TEST(ShardAssignmentCodecTest, AssignmentIsDecodedAsItWasEncoded) {
  fencing::ShardAssignment assignment{{3, 44}, 17, 2, {0, 7, 255}};
  std::string bytes = report::encode(assignment);
  fencing::ShardAssignment decoded;
  report::FrameError malformed{};
  EXPECT_EQ(
      report::decode(
          bytes, {.report = {}, .assignment = [&](const fencing::ShardAssignment& one) { decoded = one; }},
          malformed),
      bytes.size());
  EXPECT_EQ(malformed, report::FrameError::kNone);
  EXPECT_EQ(decoded, assignment);
  bytes.resize(bytes.size() - 1);
  bytes[3] = static_cast<char>(bytes[3] - 1);
  report::decode(bytes, {.report = {}, .assignment = [](const fencing::ShardAssignment&) {}}, malformed);
  EXPECT_EQ(malformed, report::FrameError::kInvalidBody) << "a truncated assignment is invalid";
}

}  // namespace
}  // namespace myrtlecroft
