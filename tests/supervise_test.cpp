// The script that supervises a server (deploy/supervise.sh).
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "../standin/child.h"
#include "temporary_folder_test.h"

namespace myrtlecroft {
namespace {

struct SuperviseTest : TemporaryFolderTest {};

// A release restarts a server in another version by its exit code; the script must start that version, save
// it and end when the server exits with 0.
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
  std::string output((std::istreambuf_iterator<char>(in)), {});
  EXPECT_EQ(output, "as 1\nas 7\n");
  std::ifstream version_file(folder + "/version");
  int version = 0;
  version_file >> version;
  EXPECT_EQ(version, 7);
}

}  // namespace
}  // namespace myrtlecroft
