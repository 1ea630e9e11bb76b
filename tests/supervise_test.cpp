// The supervisor script of an installation.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "../standin/child.h"
#include "temporary_folder_test.h"

namespace myrtlecroft {
namespace {

struct SuperviseTest : TemporaryFolderTest {};

// What starts a server again in the version that its exit code names.
TEST_F(SuperviseTest, StartsTheVersionThatTheExitCodeNames) {
  std::filesystem::create_directories(folder + "/1");
  std::filesystem::create_directories(folder + "/7");
  std::ofstream(folder + "/1/myrtlecroft") << "#!/bin/bash\necho as $MYRTLECROFT_RELEASE; exit 107\n";
  std::ofstream(folder + "/7/myrtlecroft") << "#!/bin/bash\necho as $MYRTLECROFT_RELEASE; exit 0\n";
  for (const char* version : {"/1", "/7"})
    std::filesystem::permissions(folder + version + "/myrtlecroft", std::filesystem::perms::owner_all);
  standin::ChildProcess child({MYRTLECROFT_SUPERVISE, folder, "1"}, folder + "/out");
  EXPECT_EQ(child.wait(), 0);
  std::ifstream in(folder + "/out");
  std::string said((std::istreambuf_iterator<char>(in)), {});
  EXPECT_EQ(said, "as 1\nas 7\n");
  std::ifstream loaded(folder + "/version");
  int version = 0;
  loaded >> version;
  EXPECT_EQ(version, 7);
}

}  // namespace
}  // namespace myrtlecroft
