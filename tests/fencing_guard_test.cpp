// Admission of keys according to the shard assignments that a server received.
#include "fencing/fencing_guard.h"

#include <gtest/gtest.h>

namespace myrtlecroft::fencing {
namespace {

TEST(FencingGuardTest, NoKeyIsAdmittedBeforeAnAssignment) {
  FencingGuard guard;
  EXPECT_FALSE(guard.admits("3f"));
  EXPECT_EQ(guard.accept({{1, 1}, 9, 1, {3}}, 9), FencingGuard::Verdict::kAccepted);
  EXPECT_TRUE(guard.admits("3f"));
  EXPECT_TRUE(guard.admits("3F"));
  EXPECT_FALSE(guard.admits("4f"));
  EXPECT_FALSE(guard.admits(""));
  EXPECT_FALSE(guard.admits("zz"));
}

TEST(FencingGuardTest, AssignmentOfAnEarlierEpochIsRejected) {
  FencingGuard guard;
  guard.accept({{2, 10}, 9, 1, {3}}, 9);
  EXPECT_EQ(guard.accept({{1, 9}, 9, 1, {4}}, 9), FencingGuard::Verdict::kStale);
  EXPECT_EQ(guard.accept({{2, 10}, 9, 1, {4}}, 9), FencingGuard::Verdict::kDuplicate);
  EXPECT_TRUE(guard.admits("3"));
  EXPECT_FALSE(guard.admits("4"));
}

TEST(FencingGuardTest, AssignmentForAnEarlierIncarnationIsRejected) {
  FencingGuard guard;
  EXPECT_EQ(guard.accept({{2, 10}, 8, 1, {3}}, 9), FencingGuard::Verdict::kIncarnationMismatch);
  EXPECT_FALSE(guard.admits("3"));
}

}  // namespace
}  // namespace myrtlecroft::fencing
