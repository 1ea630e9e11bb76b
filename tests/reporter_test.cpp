// Tests of the load reporter on loopback: the reports that the control service receives, and that a control
// service that is down, slow or misbehaving costs the server no more than a few kilobytes.
#include "net/reporter.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

#include "fakes.h"

namespace myrtlecroft::net {
namespace {

// The control service's end of the connection, with a receive buffer of 2 KiB.
class ControlEndpoint {
 public:
  ControlEndpoint() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    int buffer_size = 2048;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address_;
    ::bind(socket_, reinterpret_cast<sockaddr*>(&address_), size);
    ::listen(socket_, 8);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address_), &size);
  }
  ~ControlEndpoint() {
    if (connection_ >= 0) ::close(connection_);
    ::close(socket_);
  }
  const sockaddr_in& address() const { return address_; }
  bool accept() {
    if (connection_ < 0) connection_ = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK);
    return connection_ >= 0;
  }
  void close_connection() { ::close(std::exchange(connection_, -1)); }
  void send_bytes(const std::string& bytes) {
    EXPECT_GT(::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
  }
  bool closed() {
    char byte = 0;
    ssize_t received = ::recv(connection_, &byte, 1, 0);
    while (received > 0) received = ::recv(connection_, &byte, 1, 0);
    return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Returns the reports received since the last call.
  std::vector<report::LoadReport> read() {
    char buffer[4096];
    for (ssize_t received; (received = ::recv(connection_, buffer, sizeof buffer, 0)) > 0;)
      in_.append(buffer, std::size_t(received));
    std::vector<report::LoadReport> out;
    report::FrameError malformed{};
    in_.erase(0, report::decode(
                     in_, [&](report::LoadReport one) { out.push_back(std::move(one)); }, malformed));
    EXPECT_EQ(malformed, report::FrameError::kNone);
    return out;
  }

 private:
  int socket_;
  int connection_ = -1;
  sockaddr_in address_{};
  std::string in_;
};

struct ReportingServer {
  // Runs the loop until the condition holds or 10 s have passed; returns whether it holds.
  bool run_until(const std::function<bool()>& condition) {
    Nanos deadline = loop.now() + 10 * kSecond;
    bool satisfied = false;
    Timer poll_timer(loop.base(), [&] {
      satisfied = condition();
      satisfied || loop.now() > deadline ? loop.stop() : poll_timer.set(kMs);
    });
    poll_timer.set(0);
    loop.run();
    return satisfied;
  }
  Loop loop;
  ServiceHarness harness;
  ControlEndpoint control;
  sockaddr_in listen = [] {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(4101);
    return out;
  }();
  LoadReporter reporter{loop, harness, harness.service, "n1", listen};
};

TEST(LoadReporter, ReportsFollowTheStateOfTheServer) {
  ReportingServer server;
  server.reporter.set_report_settings({.to = {server.control.address()}, .report_interval = 5 * kMs});
  std::vector<report::LoadReport> reports;
  auto wait_for_report = [&](const std::function<bool(const report::LoadReport&)>& matches) {
    return server.run_until([&] {
      if (!server.control.accept()) return false;
      for (auto& one : server.control.read()) reports.push_back(std::move(one));
      return !reports.empty() && matches(reports.back());
    });
  };
  ASSERT_TRUE(wait_for_report([](const auto& one) { return !one.engine_up; }));
  EXPECT_EQ(reports.back().node, "n1");
  EXPECT_EQ(reports.back().address, "127.0.0.1:4101");
  server.harness.engine_up();
  server.harness.read("a1");
  server.harness.done("a1");
  ASSERT_TRUE(wait_for_report(
      [](const auto& one) { return one.engine_up && one.request_classes.at(0).completed == 1; }));
  EXPECT_EQ(reports.back().request_classes[0].request_class, "read");
  EXPECT_EQ(reports.back().request_classes[0].read, 1u);
  EXPECT_EQ(reports.back().request_classes[0].in_time, 1u);
  EXPECT_GT(reports.back().window, 0u);
  server.harness.service.begin_drain();
  ASSERT_TRUE(wait_for_report([](const auto& one) { return one.draining; }));
  for (std::size_t i = 1; i < reports.size(); ++i)
    EXPECT_EQ(reports[i].sequence, reports[i - 1].sequence + 1);
}

TEST(LoadReporter, ReconnectsAfterControlClosesTheConnection) {
  ReportingServer server;
  server.reporter.set_report_settings({.to = {server.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(server.run_until([&] { return server.control.accept() && !server.control.read().empty(); }));
  server.control.close_connection();
  ASSERT_TRUE(server.run_until([&] { return server.control.accept() && !server.control.read().empty(); }));
}

TEST(LoadReporter, ReloadedSettingsKeepTheConnectionAndADuplicateAddressIsIgnored) {
  ReportingServer server;
  server.reporter.set_report_settings({.to = {server.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(server.run_until([&] { return server.control.accept() && !server.control.read().empty(); }));
  server.reporter.set_report_settings(
      {.to = {server.control.address(), server.control.address()}, .report_interval = 5 * kMs});
  EXPECT_TRUE(server.run_until([&] { return !server.control.read().empty(); }));
  EXPECT_FALSE(server.control.closed());
}

TEST(LoadReporter, ControlThatReadsNothingCostsBoundedMemory) {
  ReportingServer server;
  server.reporter.set_report_settings({.to = {server.control.address()}, .report_interval = kMs});
  ASSERT_TRUE(server.run_until([&] { return server.control.accept(); }));
  // Sends far more reports than the socket buffers and the reporter's own limit hold.
  std::size_t max = 0;
  Nanos until = server.loop.now() + 3 * kSecond;
  server.run_until([&] {
    max = std::max(max, server.reporter.unsent_bytes());
    return server.loop.now() > until || max > 64 * 1024;
  });
  EXPECT_LE(max, 32u * 1024);
  EXPECT_FALSE(server.control.closed()) << "a slow control service keeps its connection";
}

TEST(LoadReporter, ConnectionIsClosedWhenControlSendsUnexpectedBytes) {
  ReportingServer server;
  server.reporter.set_report_settings({.to = {server.control.address()}, .report_interval = 5 * kMs});
  ASSERT_TRUE(server.run_until([&] { return server.control.accept() && !server.control.read().empty(); }));
  server.control.send_bytes("do this");
  EXPECT_TRUE(server.run_until([&] { return server.control.closed(); }));
}

}  // namespace
}  // namespace myrtlecroft::net
