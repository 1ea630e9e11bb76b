// The whole program in a process of its own: what stories share.
#pragma once

#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "net_story.h"

namespace myrtlecroft::net {

// One server in a process of its own; the story is its engine, its membership service and its balancer.
struct ProgramTest : testing::Test {
  ProgramTest() {
    members = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = at_port(0);
    socklen_t size = sizeof address;
    ::bind(members, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(members, reinterpret_cast<sockaddr*>(&address), &size);
    char path[] = "/tmp/myrtlecroft-XXXXXX";
    ::close(mkstemp(path));
    config = path;
    listener_port = listener.listen();
    write_config(listener_port, ntohs(address.sin_port));
  }
  void write_config(int engine, int membership, int descriptors = 1024) const {
    auto at = [](int there) { return "\"127.0.0.1:" + std::to_string(there) + "\""; };
    std::ofstream(config)
        << R"({"name":"n7","seed":"a1","stop_ms":1500,"limits":{"memory_mb":64,"sockets":)" << descriptors
        << R"(},"listen":)" << at(port) << ",\"engine\":" << at(engine) << ",\"db\":" << at(free_port())
        << ",\"members\":" << at(membership)
        << R"(,"settings":{"classes":[{"name":"read","effect":"idempotent","gain":1,"goalTimeNs":2000000000,)"
        << R"("hardLimitNs":5000000000},{"name":"book","effect":"deduplicated","gain":1,"goalTimeNs":2000000000,)"
        << R"("hardLimitNs":5000000000,"dedupWindowNs":60000000000}],"familyInfo":{"nCores":2,"ramKb":50000,"meters":["core_use"]},)"
        << R"("limits":{},"rules":{"overloadFactor":5,"overloadForNs":1000000000,"drainGraceNs":200000000}}})";
  }
  ~ProgramTest() override {
    if (process > 0) kill(process, SIGKILL), waitpid(process, nullptr, 0);
    ::close(members);
    std::remove(config.c_str());
  }
  void start() {
    process = fork();
    if (process > 0) return;
    int nowhere = open("/dev/null", O_WRONLY);
    dup2(nowhere, 1), dup2(nowhere, 2);
    setenv("LB_CONFIG", config.c_str(), 1);
    execl(MYRTLECROFT_PROGRAM, MYRTLECROFT_PROGRAM, nullptr);
    _exit(127);
  }
  // The engine's end of the link, before its first word.
  TestSocket linked() { return accept_connection(listener); }
  static TestSocket accept_connection(TestSocket& at) {
    int socket = -1;
    EXPECT_TRUE(eventually([&] { return socket >= 0 || (socket = at.accept()) >= 0; }));
    return TestSocket(socket);
  }
  TestSocket connect_client() const {
    TestSocket peer;
    peer.connect(port);
    usleep(20'000);
    return peer;
  }
  // The engine's word that a run is over, with "ABC".
  static std::string done_line(int number, const std::string& id) {
    return "{\"cmd\":\"DONE\",\"offset\":" + std::to_string(number) + ",\"req\":\"" + id +
           "\",\"result\":\"success\",\"payload\":\"QUJD\"}\n";
  }
  // The same with the engine up.
  TestSocket engine_up() {
    TestSocket engine = linked();
    EXPECT_TRUE(receives(engine, "ATTACH"));
    engine.write(kHello);
    EXPECT_TRUE(receives(engine, "{\"cmd\":\"STAT\",\"token\":\"1\"}"));
    engine.write("{\"cmd\":\"STATS\",\"token\":\"1\",\"load\":[0.5]}\n");
    return engine;
  }
  static bool eventually(const std::function<bool()>& holds) {
    for (int i = 0; i < 3000 && !holds(); ++i) usleep(1000);
    return holds();
  }
  static bool receives(TestSocket& peer, const std::string& part) {
    std::string all;
    bool found = false;
    return eventually([&] { return found = found || (all += peer.read()).find(part) != std::string::npos; });
  }
  bool reported(const std::string& line) {
    char bytes[64];
    ssize_t got = ::recv(members, bytes, sizeof bytes, 0);
    return got > 0 && std::string(bytes, static_cast<std::size_t>(got)) == line;
  }
  int exit_code() {
    int status = -1;
    bool over = false;
    eventually([&] { return over = over || waitpid(process, &status, WNOHANG) == process; });
    if (over) process = 0;
    return over && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  static inline const std::string kHello = "{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":1}\n";
  int port = free_port();
  int listener_port = 0;
  int members;
  pid_t process = 0;
  std::string config;
  TestSocket listener;
};

}  // namespace myrtlecroft::net
