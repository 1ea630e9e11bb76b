// Tests reloading the settings file while the server serves requests.
#include <sys/stat.h>

#include "program_story.h"

namespace myrtlecroft::net {
namespace {

struct ReloadTest : ProgramTest {
  ReloadTest() : original_config(config + ".kept") {}
  ~ReloadTest() override { std::remove(original_config.c_str()); }

  // Replaces the settings file by a named pipe: opening it for reading blocks until it is opened for writing.
  void replace_config_by_pipe() const {
    std::rename(config.c_str(), original_config.c_str());
    ASSERT_EQ(mkfifo(config.c_str(), 0600), 0);
  }
  // Waits until the server opens the pipe, then closes the writing end, so that the server reads an empty
  // file. Returns whether the server opened it.
  bool unblock_reader() const {
    int writer = -1;
    bool opened = eventually(
        [&] { return writer >= 0 || (writer = open(config.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; });
    if (opened) ::close(writer);
    return opened;
  }
  static bool answers_health_checks(TestSocket& peer, int count) {
    for (int i = 0; i < count; ++i) {
      peer.write(FastCgiServerTest::request(1, "/-/healthy", ""));
      if (!receives(peer, "Status: 200")) return false;
    }
    return true;
  }

  std::string original_config;
};

// The event loop used to read the file itself and answered no request while it read 380,000 tenants.
TEST_F(ReloadTest, RequestsAreAnsweredWhileTheFileIsRead) {
  start();
  TestSocket engine = engine_up();
  TestSocket peer = connect_client();
  ASSERT_TRUE(answers_health_checks(peer, 1));
  replace_config_by_pipe();
  kill(server_pid, SIGHUP);
  EXPECT_TRUE(answers_health_checks(peer, 20));
  EXPECT_TRUE(unblock_reader());
  EXPECT_TRUE(answers_health_checks(peer, 1));
}

TEST_F(ReloadTest, SignalDuringAReloadCausesAnotherReload) {
  start();
  TestSocket engine = engine_up();
  TestSocket peer = connect_client();
  replace_config_by_pipe();
  kill(server_pid, SIGHUP);
  EXPECT_TRUE(answers_health_checks(peer, 5));
  kill(server_pid, SIGHUP);
  EXPECT_TRUE(answers_health_checks(peer, 5));
  EXPECT_TRUE(unblock_reader());
  EXPECT_TRUE(unblock_reader());
  EXPECT_TRUE(answers_health_checks(peer, 1));
}

}  // namespace
}  // namespace myrtlecroft::net
