// Tests the control program's exit codes and its output.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "../standin/child.h"
#include "large_control.h"

namespace myrtlecroft::control {
namespace {

using standin::ChildProcess;

TEST(ControlProgramTest, UsageErrorsExitWithTwoAndInvalidFilesAreNamed) {
  TemporaryFolder folder;
  std::ofstream(folder.file("bad.conf")) << "version = 1;\nnodes = 3;\n";
  auto run = [&](std::vector<std::string> words) {
    words.insert(words.begin(), MYRTLECROFT_CONTROL);
    return ChildProcess(words, folder.file("log")).wait();
  };
  EXPECT_EQ(run({"check", folder.file("bad.conf")}), 2);
  EXPECT_EQ(run({"serve"}), 2);
  EXPECT_EQ(run({"serve", "--fleet", folder.file("bad.conf")}), 2);
  EXPECT_EQ(run({"fly"}), 2);
  EXPECT_EQ(run({"nodes", "--admin", "127.0.0.1:1"}), 1);
  EXPECT_EQ(run({"nodes", "--admin", "here"}), 1);
  std::ifstream in(folder.file("log"));
  std::string log((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(log.find("bad.conf:2: nodes: is not a list in parentheses"), std::string::npos) << log;
}

TEST(ControlProgramTest, PrintsTheRequestedPageAndHowToRequestOthers) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  auto shown = [&](std::vector<std::string> words) {
    words.insert(words.begin(), MYRTLECROFT_CONTROL);
    words.insert(words.end(), {"--admin", "127.0.0.1:" + std::to_string(large.control->admin_port())});
    std::string log = large.folder.file("shown");
    std::filesystem::remove(log);
    EXPECT_EQ(ChildProcess(words, log).wait(), 0);
    std::ifstream in(log);
    return std::string((std::istreambuf_iterator<char>(in)), {});
  };
  std::string first = shown({"nodes"});
  EXPECT_NE(first.find("rows 1 to "), std::string::npos) << first.substr(0, 300);
  EXPECT_NE(first.find("of 6100 rows, page 1 of "), std::string::npos);
  EXPECT_EQ(first.find("server-6100 "), std::string::npos);
  std::string one = shown({"nodes", "--zone", "a", "--name", "server-6100"});
  EXPECT_NE(one.find("server-6100 "), std::string::npos);
  EXPECT_EQ(one.find("page"), std::string::npos) << "all rows are on one page";
  EXPECT_NE(shown({"nodes", "--page", "900"}).find("no rows on this page; the answer has 6100 rows"),
            std::string::npos);
}

}  // namespace
}  // namespace myrtlecroft::control
