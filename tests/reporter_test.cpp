// A server's reports on loopback: what control hears, and that a control service that is dead, slow or rude
// costs the server nothing but a few kilobytes.
#include "net/reporter.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

#include "fakes.h"

namespace myrtlecroft::net {
namespace {

class Listener {
 public:
  Listener() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    int small = 2048;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address_;
    ::bind(socket_, reinterpret_cast<sockaddr*>(&address_), size);
    ::listen(socket_, 8);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address_), &size);
  }
  ~Listener() {
    if (peer_ >= 0) ::close(peer_);
    ::close(socket_);
  }
  const sockaddr_in& address() const { return address_; }
  bool accept() {
    if (peer_ < 0) peer_ = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK);
    return peer_ >= 0;
  }
  void drop() { ::close(std::exchange(peer_, -1)); }
  void say(const std::string& bytes) {
    EXPECT_GT(::send(peer_, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
  }
  bool closed() {
    char byte = 0;
    ssize_t got = ::recv(peer_, &byte, 1, 0);
    while (got > 0) got = ::recv(peer_, &byte, 1, 0);
    return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // The reports that have come by now.
  std::vector<report::LoadReport> read() {
    char buffer[4096];
    for (ssize_t got; (got = ::recv(peer_, buffer, sizeof buffer, 0)) > 0;)
      in_.append(buffer, std::size_t(got));
    std::vector<report::LoadReport> out;
    report::FrameError malformed{};
    in_.erase(0, report::decode(
                     in_, [&](report::LoadReport one) { out.push_back(std::move(one)); }, malformed));
    EXPECT_EQ(malformed, report::FrameError::kNone);
    return out;
  }

 private:
  int socket_;
  int peer_ = -1;
  sockaddr_in address_{};
  std::string in_;
};

struct Node {
  // Until it holds, or 10 s.
  bool run_until(const std::function<bool()>& what) {
    Nanos limit = loop.now() + 10 * kSecond;
    bool held = false;
    Timer look(loop.base(), [&] {
      held = what();
      held || loop.now() > limit ? loop.stop() : look.set(kMs);
    });
    look.set(0);
    loop.run();
    return held;
  }
  Loop loop;
  FakeWorld world;
  Listener control;
  sockaddr_in listen = [] {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(4101);
    return out;
  }();
  LoadReporter reporter{loop, world, world.service, "n1", listen};
};

TEST(LoadReporter, TellsHowTheNodeFares) {
  Node node;
  node.reporter.set_report_settings({.to = {node.control.address()}, .report_interval = 5 * kMs});
  std::vector<report::LoadReport> came;
  auto next = [&](const std::function<bool(const report::LoadReport&)>& fits) {
    return node.run_until([&] {
      if (!node.control.accept()) return false;
      for (auto& one : node.control.read()) came.push_back(std::move(one));
      return !came.empty() && fits(came.back());
    });
  };
  ASSERT_TRUE(next([](const auto& one) { return !one.engine_up; }));
  EXPECT_EQ(came.back().node, "n1");
  EXPECT_EQ(came.back().address, "127.0.0.1:4101");
  node.world.engine_up();
  node.world.read("a1");
  node.world.done("a1");
  ASSERT_TRUE(
      next([](const auto& one) { return one.engine_up && one.request_classes.at(0).completed == 1; }));
  EXPECT_EQ(came.back().request_classes[0].request_class, "read");
  EXPECT_EQ(came.back().request_classes[0].read, 1u);
  EXPECT_EQ(came.back().request_classes[0].in_time, 1u);
  EXPECT_GT(came.back().window, 0u);
  node.world.service.begin_drain();
  ASSERT_TRUE(next([](const auto& one) { return one.draining; }));
  for (std::size_t i = 1; i < came.size(); ++i) EXPECT_EQ(came[i].sequence, came[i - 1].sequence + 1);
}

TEST(LoadReporter, ConnectsAgainToOneThatWasGone) {
  Node node;
  node.reporter.set_report_settings({.to = {node.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(node.run_until([&] { return node.control.accept() && !node.control.read().empty(); }));
  node.control.drop();
  ASSERT_TRUE(node.run_until([&] { return node.control.accept() && !node.control.read().empty(); }));
}

TEST(LoadReporter, SettingsReadAgainKeepTheConnectionAndAnAddressThatComesTwiceHarmsNothing) {
  Node node;
  node.reporter.set_report_settings({.to = {node.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(node.run_until([&] { return node.control.accept() && !node.control.read().empty(); }));
  node.reporter.set_report_settings(
      {.to = {node.control.address(), node.control.address()}, .report_interval = 5 * kMs});
  EXPECT_TRUE(node.run_until([&] { return !node.control.read().empty(); }));
  EXPECT_FALSE(node.control.closed());
}

TEST(LoadReporter, OneThatReadsNothingCostsBoundedMemory) {
  Node node;
  node.reporter.set_report_settings({.to = {node.control.address()}, .report_interval = kMs});
  ASSERT_TRUE(node.run_until([&] { return node.control.accept(); }));
  // Far more reports than socket buffers and our own bound hold.
  std::size_t max = 0;
  Nanos until = node.loop.now() + 3 * kSecond;
  node.run_until([&] {
    max = std::max(max, node.reporter.unsent_bytes());
    return node.loop.now() > until || max > 64 * 1024;
  });
  EXPECT_LE(max, 32u * 1024);
  EXPECT_FALSE(node.control.closed()) << "it is slow, no more";
}

TEST(LoadReporter, OneThatSaysAnythingIsLetGo) {
  Node node;
  node.reporter.set_report_settings({.to = {node.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(node.run_until([&] { return node.control.accept() && !node.control.read().empty(); }));
  node.control.say("do this");
  EXPECT_TRUE(node.run_until([&] { return node.control.closed(); }));
}

}  // namespace
}  // namespace myrtlecroft::net
