// Which server reports over which connection.
#include "control/reporter_links.h"

#include <gtest/gtest.h>

namespace myrtlecroft::control {
namespace {

TEST(ReporterLinksTest, ServerLosesItsLinkWhenItsLastConnectionCloses) {
  ReporterLinks links;
  EXPECT_TRUE(links.assign(1, "n1"));
  EXPECT_FALSE(links.assign(1, "n1"));
  EXPECT_TRUE(links.assign(2, "n1"));
  EXPECT_TRUE(links.assign(3, "n2"));
  EXPECT_EQ(links.closed(1), std::nullopt);
  EXPECT_EQ(links.closed(2), "n1");
  EXPECT_EQ(links.closed(2), std::nullopt);
  EXPECT_TRUE(links.assign(3, "n1")) << "the connection names another server now";
  EXPECT_EQ(links.closed(3), "n1");
}

}  // namespace
}  // namespace myrtlecroft::control
