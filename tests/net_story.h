// Fixtures for tests of the network adapters on loopback sockets. The tests act as the peers with plain
// sockets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fakes.h"
#include "net/address.h"
#include "net/database_client.h"
#include "net/engine_client.h"
#include "net/fastcgi_server.h"

namespace myrtlecroft::net {

inline sockaddr_in at_port(int port) { return loopback(static_cast<std::uint16_t>(port)); }

// A non-blocking TCP socket. Errors of its calls are ignored, except by write().
class TestSocket {
 public:
  explicit TestSocket(int socket = ::socket(AF_INET, SOCK_STREAM, 0)) : socket_(socket) {
    fcntl(socket_, F_SETFL, fcntl(socket_, F_GETFL) | O_NONBLOCK);
  }
  TestSocket(TestSocket&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  TestSocket& operator=(TestSocket&& other) noexcept {
    close();
    socket_ = std::exchange(other.socket_, -1);
    return *this;
  }
  ~TestSocket() { close(); }
  void close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  int descriptor() const { return socket_; }
  int listen(int receive_buffer_bytes = 0) {
    sockaddr_in address = at_port(0);
    if (receive_buffer_bytes) set_receive_buffer(receive_buffer_bytes);
    socklen_t size = sizeof address;
    ::bind(socket_, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(socket_, 16);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  void connect(int port) {
    sockaddr_in address = at_port(port);
    ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  int accept() { return ::accept(socket_, nullptr, nullptr); }
  void write(const std::string& bytes) {
    EXPECT_EQ(::write(socket_, bytes.data(), bytes.size()), ssize_t(bytes.size()));
  }
  void try_write(const std::string& bytes) {
    if (::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return;
  }
  // Sends as much as the kernel accepts and returns the number of bytes.
  std::size_t send_available(const std::string& bytes) {
    ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  // Sets the size of the receive buffer in bytes; call it before the connection is made.
  void set_receive_buffer(int bytes) { ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes); }
  void shutdown_write() { ::shutdown(socket_, SHUT_WR); }
  void reset() {
    linger zero_linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    close();
  }
  // Returns the bytes available, up to `max`; "(end)" once the peer has closed.
  std::string read(std::size_t max = 65'536) {
    char bytes[65'536];
    ssize_t bytes_read = ::read(socket_, bytes, std::min(max, sizeof bytes));
    return bytes_read > 0    ? std::string(bytes, static_cast<std::size_t>(bytes_read))
           : bytes_read == 0 ? "(end)"
                             : "";
  }

 private:
  int socket_;
};

// Lowers the descriptor limit, so that the process gets no further descriptor while this object exists.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &original_limit_);
    int highest = dup(0);
    ::close(highest);
    rlimit lowered = {.rlim_cur = static_cast<rlim_t>(highest), .rlim_max = original_limit_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &original_limit_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit original_limit_;
};

inline int count_occurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at) ++count;
  return count;
}

inline int free_port() { return TestSocket().listen(); }

inline ServiceConfig high_dependency_share_config() {
  ServiceConfig config = two_core_config();
  config.dependency_share = 20;
  return config;
}

struct NetTest : testing::Test, service::Logger {
  void line(const std::string& text) override { lines.push_back(text); }
  void write_rate_limited(const std::string& text) override { lines.push_back(text); }
  void write_routine(const std::string& text) override { lines.push_back(text); }
  bool logged(const std::string& part) const {
    for (const std::string& line_text : lines) {
      if (line_text.find(part) != std::string::npos) return true;
    }
    return false;
  }
  // Runs the loop until the condition holds, for two seconds at most. Returns whether it holds.
  bool eventually(const std::function<bool()>& condition) {
    for (Nanos end = loop.now() + 2 * kSecond; loop.now() < end;) {
      if (condition()) return true;
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      usleep(200);
    }
    return condition();
  }
  // Whether the peer receives a text, within two seconds.
  bool receives(TestSocket& peer, const std::string& part) {
    std::string received;
    return eventually([&] { return (received += peer.read()).find(part) != std::string::npos; });
  }
  TestSocket accept_connection(TestSocket& listener) {
    int socket = -1;
    EXPECT_TRUE(eventually([&] { return (socket = listener.accept()) >= 0; }));
    return TestSocket(socket);
  }
  // Runs the loop for that time.
  void run_loop_for(Nanos duration) {
    eventually([&, end = loop.now() + duration] { return loop.now() >= end; });
  }

  explicit NetTest(std::size_t max_result_bytes = 1'000)
      : harness(high_dependency_share_config(), max_result_bytes) {
    harness.time = loop.now();
  }

  Loop loop;
  std::vector<std::string> lines;
  ServiceHarness harness;
};

struct FastCgiServerTest : NetTest {
  FastCgiServerTest() : FastCgiServerTest(12, 300'000, {}, 1'000) {}
  FastCgiServerTest(std::size_t connections, std::size_t bytes, const peers::SlowClientOptions& config,
                    std::size_t max_result_bytes)
      : NetTest(max_result_bytes),
        port(free_port()),
        fastcgi_server(loop, *this, at_port(port), connections, bytes, config) {
    harness.engine_up();
    fastcgi_server.serve(harness.service, [this] { finished = true; });
  }
  static std::string record(int type, int id, const std::string& content) {
    std::string out = {1, static_cast<char>(type), 0, static_cast<char>(id)};
    out += static_cast<char>(content.size() >> 8);
    out += static_cast<char>(content.size());
    return out + std::string(2, '\0') + content;
  }
  using Pairs = std::vector<std::pair<std::string, std::string>>;
  // Encodes a complete request. A parameter in `extra_params` overrides the default of the same name.
  static std::string request(int id, const std::string& script, const std::string& trace_id, int flags = 1,
                             const Pairs& extra_params = {}) {
    std::string params;
    auto add = [&](const std::string& name, const std::string& value) {
      params += static_cast<char>(name.size());
      params += static_cast<char>(value.size());
      params += name + value;
    };
    add("SCRIPT_NAME", script);
    add("QUERY_STRING", trace_id);
    add("HTTP_TRACE_ID", trace_id);
    add("HTTP_ACCEPTED_AT_MS", std::to_string(Loop::unix_now() / kMs));
    add("HTTP_MAX_WAIT_MS", "60000");
    add("HTTP_RESERVE_KB", "24.5");
    for (const auto& [name, value] : extra_params) add(name, value);
    return record(1, id, {0, 1, static_cast<char>(flags), 0, 0, 0, 0, 0}) + record(4, id, params) +
           record(4, id, "") + record(5, id, "body") + record(5, id, "");
  }
  TestSocket connect_client() {
    TestSocket peer = connect_without_running_loop();
    run_loop_for(5 * kMs);
    return peer;
  }
  TestSocket connect_without_running_loop() {
    TestSocket peer;
    peer.connect(port);
    return peer;
  }

  const std::string first = "00000000000000aa";
  const std::string second = "00000000000000bb";
  int port;
  FastCgiServer fastcgi_server;
  bool finished = false;
};

}  // namespace myrtlecroft::net
