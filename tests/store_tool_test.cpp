// Output and exit codes of myrtlecroft-store.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>

#include "store/file_disk.h"
#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

// Runs the tool. Returns its exit code, or -1 if it did not exit normally, and its output.
std::pair<int, std::string> run_tool(const std::string& arguments) {
  std::string out;
  FILE* pipe = popen((std::string(MYRTLECROFT_STORE) + " " + arguments + " 2>&1").c_str(), "r");
  char buffer[4'096];
  for (std::size_t bytes_read; (bytes_read = fread(buffer, 1, sizeof buffer, pipe)) > 0;)
    out.append(buffer, bytes_read);
  int status = pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

TEST(StoreToolTest, CommandsReportContentsAndDamage) {
  TemporaryFolder folder;
  {
    FileDisk disk(folder.path);
    Store store(disk, {.segment_bytes = 2'000}, steady_now, 1);
    store.open();
    for (int i = 0; i < 60; ++i) {
      store.put("key" + std::to_string(i % 20), "v\x01" + std::to_string(i), 0);
      store.commit();
    }
  }
  EXPECT_EQ(run_tool("verify " + folder.path).first, 0);
  EXPECT_NE(run_tool("inspect --json " + folder.path).second.find("\"keys\":20"), std::string::npos);
  std::string dump = run_tool("dump " + folder.path).second;
  EXPECT_EQ(std::count(dump.begin(), dump.end(), '\n'), 20);
  EXPECT_NE(dump.find("\"key\":\"key19\",\"value\":\"v\\u000159\""), std::string::npos) << dump;
  EXPECT_EQ(run_tool("dump " + folder.path + " --hdf5 " + folder.path + "/out.h5").first, 0);
  EXPECT_EQ(std::filesystem::exists(folder.path + "/out.h5"), true);
  auto [code, output] = run_tool("compact " + folder.path);
  EXPECT_EQ(code, 0);
  EXPECT_NE(output.find("20 keys"), std::string::npos);
  // Damages a byte between valid records.
  std::string last;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path)) {
    if (entry.path().extension() == ".seg") last = std::max(last, entry.path().string());
  }
  FILE* file = fopen(last.c_str(), "r+");
  fseek(file, 100, SEEK_SET);
  fputc('x', file);
  fclose(file);
  EXPECT_EQ(run_tool("verify " + folder.path).first, 1);
  EXPECT_EQ(run_tool("verify /nowhere/at/all").first, 2);
}

}  // namespace
}  // namespace myrtlecroft::store
