// Tests which server a report connection belongs to, and when a server has no connection left.
#include "control/reporter_links.h"

#include <gtest/gtest.h>

namespace myrtlecroft::control {
namespace {

TEST(ReporterLinksTest, ServerIsDisconnectedWhenItsLastConnectionCloses) {
  ReporterLinks links;
  EXPECT_TRUE(links.assign(1, "n1"));
  EXPECT_FALSE(links.assign(1, "n1"));
  EXPECT_TRUE(links.assign(2, "n1"));
  EXPECT_TRUE(links.assign(3, "n2"));
  EXPECT_EQ(links.remove_connection(1), std::nullopt);
  EXPECT_EQ(links.remove_connection(2), "n1");
  EXPECT_EQ(links.remove_connection(2), std::nullopt);
  EXPECT_TRUE(links.assign(3, "n1")) << "the connection now belongs to another server";
  EXPECT_EQ(links.remove_connection(3), "n1");
}

}  // namespace
}  // namespace myrtlecroft::control
