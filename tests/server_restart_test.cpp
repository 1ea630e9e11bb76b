// Kills the server program and restarts it on the same store folder.
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
    if (server_pid > 0) kill_server();
    std::filesystem::remove_all(folder);
  }
  TestSocket connect_caller() {
    TestSocket peer;
    peer.connect(port);
    usleep(30'000);
    return peer;
  }
  void kill_server() {
    kill(server_pid, SIGKILL);
    waitpid(server_pid, nullptr, 0);
    server_pid = 0;
  }
  static std::string keyed_request(int id, const std::string& trace, const std::string& key) {
    return FastCgiServerTest::request(id, "/api/v2/book", trace, 1, {{"HTTP_REPLAY_KEY", key}});
  }
  std::string folder;
  std::string settings;
};

TEST_F(ServerRestartTest, RetryOfACompletedRequestIsAnsweredAndOneOfUnknownOutcomeFails) {
  start();
  {
    TestSocket engine = engine_up();
    TestSocket peer = connect_caller();
    peer.write(keyed_request(1, "00000000000000a1", "aa"));
    ASSERT_TRUE(receives(engine, "00000000000000a1"));
    engine.write(R"({"cmd":"DONE","offset":1,"req":"00000000000000a1","result":"success","payload":"QUJD"})"
                 "\n");
    ASSERT_TRUE(receives(peer, "ABC"));
    peer.write(keyed_request(2, "00000000000000b1", "bb"));
    ASSERT_TRUE(receives(engine, "00000000000000b1"));
    usleep(100'000);  // time for the first request's outcome to reach the disk
    kill_server();
  }
  start();
  TestSocket engine = engine_up();
  TestSocket peer = connect_caller();
  peer.write(keyed_request(1, "00000000000000a2", "aa"));
  EXPECT_TRUE(receives(peer, "ABC"));
  peer.write(keyed_request(2, "00000000000000b2", "bb"));
  EXPECT_TRUE(receives(peer, "Status: 500"));
  // A request with a new key runs.
  peer.write(keyed_request(3, "00000000000000c2", "cc"));
  std::string commands;
  EXPECT_TRUE(
      eventually([&] { return (commands += engine.read()).find("00000000000000c2") != std::string::npos; }));
  EXPECT_EQ(commands.find("00000000000000a2"), std::string::npos);
  EXPECT_EQ(commands.find("00000000000000b2"), std::string::npos);
}

TEST_F(ServerRestartTest, NoRequestRunsTwiceWhenTheServerIsKilledUnderLoad) {
  std::mt19937 random(5);
  std::map<std::string, int> runs_by_key;
  std::map<std::string, std::string> key_by_trace;
  int trace_count = 0;
  for (int start_count = 0; start_count < 8; ++start_count) {
    start();
    TestSocket engine = engine_up();
    TestSocket peer = connect_caller();
    std::string commands;
    int offset = 0;
    auto read_engine = [&] {
      commands += engine.read();
      for (std::size_t end; (end = commands.find('\n')) != std::string::npos; commands.erase(0, end + 1)) {
        std::string line = commands.substr(0, end);
        std::size_t at = line.find("\"req\":\"");
        if (line.find("\"RUN\"") == std::string::npos || at == std::string::npos) continue;
        std::string id = line.substr(at + 7, 16);
        ++runs_by_key[key_by_trace[id]];
        if (random() % 4) {
          engine.try_write(R"({"cmd":"DONE","offset":)" + std::to_string(++offset) + R"(,"req":")" + id +
                           R"(","result":"success","payload":"QUJD"})"
                           "\n");
        }
      }
    };
    for (int i = 0; i < 25; ++i) {
      char trace[17];
      std::snprintf(trace, sizeof trace, "%016x", ++trace_count);
      std::string key = std::to_string(10 + random() % 40);
      key_by_trace[trace] = key;
      peer.try_write(keyed_request(i % 32 + 1, trace, key));
      usleep(static_cast<useconds_t>(random() % 3'000));
      read_engine();
      peer.read();
    }
    usleep(static_cast<useconds_t>(random() % 10'000));
    read_engine();
    kill_server();
    read_engine();
  }
  EXPECT_GT(runs_by_key.size(), 20u);
  for (const auto& [key, run_count] : runs_by_key) EXPECT_LE(run_count, 1) << key;
}

TEST_F(ServerRestartTest, StartFailsIfTheStoreFolderIsInUseOrUnusable) {
  start();
  TestSocket engine = engine_up();
  pid_t first_pid = std::exchange(server_pid, 0);
  port = free_port();  // on the first server's port the start would fail in any case
  write_config(free_port(), 9);
  start();
  EXPECT_EQ(exit_code(), 1);
  std::swap(server_pid, first_pid);
  kill_server();
  start();
  usleep(200'000);
  EXPECT_EQ(waitpid(server_pid, nullptr, WNOHANG), 0);  // still running
  kill_server();
  std::ofstream(settings) << "version = 1; store = { folder = \"" << settings << "/below\"; };\n";
  start();
  EXPECT_EQ(exit_code(), 1);
}

}  // namespace
}  // namespace myrtlecroft::net
