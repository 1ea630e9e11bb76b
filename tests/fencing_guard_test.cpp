// Which keys a server may run, by the shard assignments that it received.
#include "fencing/fencing_guard.h"

#include <gtest/gtest.h>

namespace myrtlecroft::fencing {
namespace {

TEST(FencingGuardTest, NoKeyIsAdmittedBeforeAnAssignment) {
  FencingGuard fence;
  EXPECT_FALSE(fence.admits("3f"));
  EXPECT_EQ(fence.accept({{1, 1}, 9, 1, {3}}, 9), FencingGuard::Verdict::kAccepted);
  EXPECT_TRUE(fence.admits("3f"));
  EXPECT_TRUE(fence.admits("3F"));
  EXPECT_FALSE(fence.admits("4f"));
  EXPECT_FALSE(fence.admits(""));
  EXPECT_FALSE(fence.admits("zz"));
}

TEST(FencingGuardTest, AssignmentOfAnEarlierEpochIsRefused) {
  FencingGuard fence;
  fence.accept({{2, 10}, 9, 1, {3}}, 9);
  EXPECT_EQ(fence.accept({{1, 9}, 9, 1, {4}}, 9), FencingGuard::Verdict::kStale);
  EXPECT_EQ(fence.accept({{2, 10}, 9, 1, {4}}, 9), FencingGuard::Verdict::kDuplicate);
  EXPECT_TRUE(fence.admits("3"));
  EXPECT_FALSE(fence.admits("4"));
}

TEST(FencingGuardTest, AssignmentForAnEarlierIncarnationOpensNothing) {
  FencingGuard fence;
  EXPECT_EQ(fence.accept({{2, 10}, 8, 1, {3}}, 9), FencingGuard::Verdict::kIncarnationMismatch);
  EXPECT_FALSE(fence.admits("3"));
}

}  // namespace
}  // namespace myrtlecroft::fencing
