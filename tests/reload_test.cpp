// Files that are read again while requests come.
#include <sys/stat.h>

#include "program_story.h"

namespace myrtlecroft::net {
namespace {

struct ReloadTest : ProgramTest {
  ReloadTest() : kept(config + ".kept") {}
  ~ReloadTest() override { std::remove(kept.c_str()); }

  // Whoever opens it to read waits until somebody opens it to write.
  void put_a_pipe_in_place() const {
    std::rename(config.c_str(), kept.c_str());
    ASSERT_EQ(mkfifo(config.c_str(), 0600), 0);
  }
  // True once somebody reads; lets that reader go on, which meets the end.
  bool reader_let_go() const {
    int writer = -1;
    bool came = eventually(
        [&] { return writer >= 0 || (writer = open(config.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; });
    if (came) ::close(writer);
    return came;
  }
  static bool answers_checks(TestSocket& peer, int count) {
    for (int i = 0; i < count; ++i) {
      peer.write(FastCgiServerTest::request(1, "/-/healthy", ""));
      if (!receives(peer, "Status: 200")) return false;
    }
    return true;
  }

  std::string kept;
};

// 380,000 tenants were read in the loop, which answered nobody meanwhile.
TEST_F(ReloadTest, RequestsAreAnsweredWhileTheFileIsRead) {
  start();
  TestSocket engine = engine_up();
  TestSocket peer = connect_client();
  ASSERT_TRUE(answers_checks(peer, 1));
  put_a_pipe_in_place();
  kill(process, SIGHUP);
  EXPECT_TRUE(answers_checks(peer, 20));
  EXPECT_TRUE(reader_let_go());
  EXPECT_TRUE(answers_checks(peer, 1));
}

TEST_F(ReloadTest, ASignalDuringAReadingIsFollowedByAnother) {
  start();
  TestSocket engine = engine_up();
  TestSocket peer = connect_client();
  put_a_pipe_in_place();
  kill(process, SIGHUP);
  EXPECT_TRUE(answers_checks(peer, 5));
  kill(process, SIGHUP);
  EXPECT_TRUE(answers_checks(peer, 5));
  EXPECT_TRUE(reader_let_go());
  EXPECT_TRUE(reader_let_go());
  EXPECT_TRUE(answers_checks(peer, 1));
}

}  // namespace
}  // namespace myrtlecroft::net
