// The server program with a store, killed and started again on the same folder.
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "program_story.h"

namespace myrtlecroft::net {
namespace {

struct ServerRestartTest : ProgramTest {
  ServerRestartTest() {
    char name[] = "/tmp/myrtlecroft_durable.XXXXXX";
    folder = mkdtemp(name);
    settings = folder + "/node.conf";
    std::ofstream(settings) << "version = 1; store = { folder = \"" << folder << "/store\"; };\n";
    setenv("MYRTLECROFT_SETTINGS", settings.c_str(), 1);
  }
  ~ServerRestartTest() override {
    unsetenv("MYRTLECROFT_SETTINGS");
    if (process > 0) kill_server();
    std::filesystem::remove_all(folder);
  }
  TestSocket caller() {
    TestSocket peer;
    peer.connect(port);
    usleep(30'000);
    return peer;
  }
  void kill_server() {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
  }
  static std::string booking(int id, const std::string& trace, const std::string& key) {
    return FastCgiServerTest::request(id, "/api/v2/book", trace, 1, {{"HTTP_REPLAY_KEY", key}});
  }
  std::string folder;
  std::string settings;
};

TEST_F(ServerRestartTest, CompletedRequestIsAnsweredAndOneThatMayHaveRunFails) {
  start();
  {
    TestSocket engine = engine_up();
    TestSocket peer = caller();
    peer.write(booking(1, "00000000000000a1", "aa"));
    ASSERT_TRUE(receives(engine, "00000000000000a1"));
    engine.write(R"({"cmd":"DONE","offset":1,"req":"00000000000000a1","result":"success","payload":"QUJD"})"
                 "\n");
    ASSERT_TRUE(receives(peer, "ABC"));
    peer.write(booking(2, "00000000000000b1", "bb"));
    ASSERT_TRUE(receives(engine, "00000000000000b1"));
    usleep(100'000);  // the outcome of the first is on its way to the disk
    kill_server();
  }
  start();
  TestSocket engine = engine_up();
  TestSocket peer = caller();
  peer.write(booking(1, "00000000000000a2", "aa"));
  EXPECT_TRUE(receives(peer, "ABC"));
  peer.write(booking(2, "00000000000000b2", "bb"));
  EXPECT_TRUE(receives(peer, "Status: 500"));
  // A new request runs.
  peer.write(booking(3, "00000000000000c2", "cc"));
  std::string commands;
  EXPECT_TRUE(
      eventually([&] { return (commands += engine.read()).find("00000000000000c2") != std::string::npos; }));
  EXPECT_EQ(commands.find("00000000000000a2"), std::string::npos);
  EXPECT_EQ(commands.find("00000000000000b2"), std::string::npos);
}

TEST_F(ServerRestartTest, NothingRunsTwiceWhenKilledAtRandomUnderLoad) {
  std::mt19937 random(5);
  std::map<std::string, int> ran;
  std::map<std::string, std::string> key_of;
  int traces = 0;
  for (int starts = 0; starts < 8; ++starts) {
    start();
    TestSocket engine = engine_up();
    TestSocket peer = caller();
    std::string commands;
    int offset = 0;
    auto read_engine = [&] {
      commands += engine.read();
      for (std::size_t end; (end = commands.find('\n')) != std::string::npos; commands.erase(0, end + 1)) {
        std::string line = commands.substr(0, end);
        std::size_t at = line.find("\"req\":\"");
        if (line.find("\"RUN\"") == std::string::npos || at == std::string::npos) continue;
        std::string id = line.substr(at + 7, 16);
        ++ran[key_of[id]];
        if (random() % 4) {
          engine.try_write(R"({"cmd":"DONE","offset":)" + std::to_string(++offset) + R"(,"req":")" + id +
                           R"(","result":"success","payload":"QUJD"})"
                           "\n");
        }
      }
    };
    for (int i = 0; i < 25; ++i) {
      char trace[17];
      std::snprintf(trace, sizeof trace, "%016x", ++traces);
      std::string key = std::to_string(10 + random() % 40);
      key_of[trace] = key;
      peer.try_write(booking(i % 32 + 1, trace, key));
      usleep(static_cast<useconds_t>(random() % 3'000));
      read_engine();
      peer.read();
    }
    usleep(static_cast<useconds_t>(random() % 10'000));
    read_engine();
    kill_server();
    read_engine();
  }
  EXPECT_GT(ran.size(), 20u);
  for (const auto& [key, times] : ran) EXPECT_LE(times, 1) << key;
}

TEST_F(ServerRestartTest, StartFailsWhenTheFolderIsInUseOrUnusable) {
  start();
  TestSocket engine = engine_up();
  pid_t first = std::exchange(process, 0);
  port = free_port();  // or it would end for that
  write_config(free_port(), 9);
  start();
  EXPECT_EQ(exit_code(), 1);
  std::swap(process, first);
  kill_server();
  start();
  usleep(200'000);
  EXPECT_EQ(waitpid(process, nullptr, WNOHANG), 0);  // it runs
  kill_server();
  std::ofstream(settings) << "version = 1; store = { folder = \"" << settings << "/below\"; };\n";
  start();
  EXPECT_EQ(exit_code(), 1);
}

}  // namespace
}  // namespace myrtlecroft::net
