// Tests how rows are split into pages.
#include "control/pager.h"

#include <gtest/gtest.h>

namespace myrtlecroft::control {
namespace {

TEST(PagerTest, RowLargerThanAPageGetsAPageOfItsOwn) {
  Pager pager(2);
  EXPECT_FALSE(pager.add_row(10));
  EXPECT_TRUE(pager.add_row(Pager::kMaxBytes + 1));
  EXPECT_FALSE(pager.add_row(10));
  EXPECT_EQ(pager.pages(), 3u);
  EXPECT_EQ(pager.first_row(), 2u);
}

}  // namespace
}  // namespace myrtlecroft::control
