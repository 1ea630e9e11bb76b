// Test fixture that runs the server program in a separate process.
#pragma once

#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "net_story.h"

namespace myrtlecroft::net {

// Runs one server in a separate process; the test plays its engine, its membership service and its balancer.
struct ProgramTest : testing::Test {
  ProgramTest() {
    membership_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = at_port(0);
    socklen_t size = sizeof address;
    ::bind(membership_socket, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(membership_socket, reinterpret_cast<sockaddr*>(&address), &size);
    char path[] = "/tmp/myrtlecroft-XXXXXX";
    ::close(mkstemp(path));
    config = path;
    listener_port = listener.listen();
    write_config(listener_port, ntohs(address.sin_port));
  }
  // Writes the settings file. `engine` and `membership` are ports; `descriptors` is the limit on open
  // sockets.
  void write_config(int engine, int membership, int descriptors = 1024) const {
    auto loopback_address = [](int port_number) {
      return "\"127.0.0.1:" + std::to_string(port_number) + "\"";
    };
    std::ofstream(config)
        << R"({"name":"n7","seed":"a1","stop_ms":1500,"limits":{"memory_mb":64,"sockets":)" << descriptors
        << R"(},"listen":)" << loopback_address(port) << ",\"engine\":" << loopback_address(engine)
        << ",\"db\":" << loopback_address(free_port()) << ",\"members\":" << loopback_address(membership)
        << R"(,"settings":{"classes":[{"name":"read","effect":"idempotent","gain":1,"goalTimeNs":2000000000,)"
        << R"("hardLimitNs":5000000000},{"name":"book","effect":"deduplicated","gain":1,"goalTimeNs":2000000000,)"
        << R"("hardLimitNs":5000000000,"dedupWindowNs":60000000000}],"familyInfo":{"nCores":2,"ramKb":50000,"meters":["core_use"]},)"
        << R"("limits":{},"rules":{"overloadFactor":5,"overloadForNs":1000000000,"drainGraceNs":200000000}}})";
  }
  ~ProgramTest() override {
    if (server_pid > 0) kill(server_pid, SIGKILL), waitpid(server_pid, nullptr, 0);
    ::close(membership_socket);
    std::remove(config.c_str());
  }
  // Starts the server with its output discarded.
  void start() {
    server_pid = fork();
    if (server_pid > 0) return;
    int null_device = open("/dev/null", O_WRONLY);
    dup2(null_device, 1), dup2(null_device, 2);
    setenv("LB_CONFIG", config.c_str(), 1);
    execl(MYRTLECROFT_PROGRAM, MYRTLECROFT_PROGRAM, nullptr);
    _exit(127);
  }
  // Accepts the server's connection as its engine and sends nothing on it.
  TestSocket accept_engine_link() { return accept_connection(listener); }
  // Waits up to about 3 s for a connection; the test fails if none arrives.
  static TestSocket accept_connection(TestSocket& listening_socket) {
    int socket = -1;
    EXPECT_TRUE(eventually([&] { return socket >= 0 || (socket = listening_socket.accept()) >= 0; }));
    return TestSocket(socket);
  }
  TestSocket connect_client() const {
    TestSocket peer;
    peer.connect(port);
    usleep(20'000);
    return peer;
  }
  // Returns the engine's notice that a run completed with the result "ABC".
  static std::string done_line(int number, const std::string& id) {
    return "{\"cmd\":\"DONE\",\"offset\":" + std::to_string(number) + ",\"req\":\"" + id +
           "\",\"result\":\"success\",\"payload\":\"QUJD\"}\n";
  }
  // Accepts the engine link and completes its handshake.
  TestSocket engine_up() {
    TestSocket engine = accept_engine_link();
    EXPECT_TRUE(receives(engine, "ATTACH"));
    engine.write(kHelloLine);
    EXPECT_TRUE(receives(engine, "{\"cmd\":\"STAT\",\"token\":\"1\"}"));
    engine.write("{\"cmd\":\"STATS\",\"token\":\"1\",\"load\":[0.5]}\n");
    return engine;
  }
  // Returns whether `condition` becomes true within about 3 s.
  static bool eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < 3000 && !condition(); ++i) usleep(1000);
    return condition();
  }
  // Returns whether `part` arrives from `peer` within about 3 s; all bytes read are dropped.
  static bool receives(TestSocket& peer, const std::string& part) {
    std::string received;
    bool found = false;
    return eventually(
        [&] { return found = found || (received += peer.read()).find(part) != std::string::npos; });
  }
  // Returns whether the next datagram for the membership service is `line`; doesn't wait.
  bool received_report(const std::string& line) {
    char bytes[64];
    ssize_t bytes_received = ::recv(membership_socket, bytes, sizeof bytes, 0);
    return bytes_received > 0 && std::string(bytes, static_cast<std::size_t>(bytes_received)) == line;
  }
  // Waits for the server to exit; -1 if it was killed or still runs.
  int exit_code() {
    int status = -1;
    bool exited = false;
    eventually([&] { return exited = exited || waitpid(server_pid, &status, WNOHANG) == server_pid; });
    if (exited) server_pid = 0;
    return exited && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  static inline const std::string kHelloLine = "{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":1}\n";
  int port = free_port();
  int listener_port = 0;
  int membership_socket;
  pid_t server_pid = 0;
  std::string config;
  TestSocket listener;
};

}  // namespace myrtlecroft::net
