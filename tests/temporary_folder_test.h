// A test fixture with a temporary folder, which is removed after the test.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace myrtlecroft {

struct TemporaryFolderTest : testing::Test {
  TemporaryFolderTest() {
    char name[] = "/tmp/myrtlecroft_log.XXXXXX";
    folder = mkdtemp(name);
  }
  ~TemporaryFolderTest() override { std::filesystem::remove_all(folder); }
  std::string folder;
};

}  // namespace myrtlecroft
