// Tests connections, links and processes that end while an answer, a notice or a call is still pending. Each
// race is forced, by a hook in accept4 or by withholding bytes. docs/endings.md has a row for each.
#include <sys/syscall.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <random>

#include "net/membership_client.h"
#include "program_story.h"

namespace {

// State of the accept4() below, which replaces the C library's in this test program only.
std::function<int(int calls_so_far)> g_before_accept;  // returns the errno to fail with, or 0
std::function<void()> g_after_last_accept;             // runs once, when the backlog is empty
int g_accept_calls = 0;

}  // namespace

extern "C" int accept4(int socket, sockaddr* address, socklen_t* size, int flags) {
  int error = g_before_accept ? g_before_accept(g_accept_calls++) : 0;
  if (error) {
    errno = error;
    return -1;
  }
  int accepted_socket = static_cast<int>(syscall(SYS_accept4, socket, address, size, flags));
  if (accepted_socket >= 0 || errno != EAGAIN || !g_after_last_accept) return accepted_socket;
  std::exchange(g_after_last_accept, nullptr)();
  errno = EAGAIN;
  return -1;
}

namespace myrtlecroft::net {
namespace {

constexpr int kHealthCheckId = 9;  // FastCGI request id of the health checks

struct ConnectionEndingTest : FastCgiServerTest {
  explicit ConnectionEndingTest(const peers::SlowClientOptions& options = {})
      : FastCgiServerTest(64, 4'000'000, options, 1'000'000) {}
  ~ConnectionEndingTest() override {
    g_before_accept = nullptr;
    g_after_last_accept = nullptr;
  }
  static std::string health_check(int flags = 1) { return request(kHealthCheckId, "/-/healthy", "", flags); }
  static int socket_error(const TestSocket& peer) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(peer.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  // Reads until the server closes the connection. The result ends with "(end)" if the close was orderly,
  // otherwise with "(reset)".
  std::string read_to_end(TestSocket& peer) {
    std::string all;
    eventually([&] {
      all += peer.read();
      return all.ends_with("(end)") || socket_error(peer) != 0;
    });
    return all.ends_with("(end)") ? all : all + "(reset)";
  }
};

// ---- The listener

// Every error of accept used to be taken for an empty backlog, so callers in the backlog were reset when the
// listener closed.
struct AcceptErrorTest : ConnectionEndingTest, testing::WithParamInterface<int> {};

TEST_P(AcceptErrorTest, FinishAnswersCallersInTheBacklog) {
  TestSocket peer = connect_without_running_loop();
  peer.write(health_check());
  g_accept_calls = 0;
  g_before_accept = [](int call) { return call == 0 ? GetParam() : 0; };
  fastcgi_server.stop_accepting();
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  peer.close();
  EXPECT_TRUE(eventually([&] { return finished; }));
}

INSTANTIATE_TEST_SUITE_P(FastCgiServer, AcceptErrorTest,
                         testing::Values(EMFILE, ENFILE, ENOBUFS, EINTR, ECONNABORTED, EPROTO));

// A caller that connected after the last accept used to be reset by the listener's close, with its request
// already written.
TEST_F(ConnectionEndingTest, CallerThatConnectsAfterTheLastAcceptIsAnsweredOrRefused) {
  TestSocket late_caller;
  bool request_sent = false;
  g_after_last_accept = [&] {
    late_caller.connect(port);
    for (int i = 0; i < 50 && !request_sent; ++i) {
      usleep(100);
      request_sent = late_caller.send_available(health_check()) > 0;
    }
  };
  fastcgi_server.stop_accepting();
  EXPECT_TRUE(eventually([&] { return finished; }));
  if (request_sent) {
    EXPECT_EQ(count_occurrences(read_to_end(late_caller), "Status: 200"), 1);
  } else {
    EXPECT_TRUE(eventually([&] { return socket_error(late_caller) == ECONNREFUSED; }));
  }
}

// If fewer descriptors are available than the settings allow, idle callers used to lock out all others for
// good.
TEST_F(ConnectionEndingTest, OutOfDescriptorsAnIdleConnectionIsClosedForANewOne) {
  std::vector<TestSocket> idle_callers;
  for (int i = 0; i < 4; ++i) {
    idle_callers.push_back(connect_client());
    idle_callers.back().write(health_check());
    EXPECT_TRUE(receives(idle_callers.back(), "Status: 200"));
  }
  TestSocket new_caller;
  {
    NoFreeDescriptors none;
    new_caller.connect(port);
    new_caller.write(health_check());
    EXPECT_TRUE(receives(new_caller, "Status: 200"));
  }
  EXPECT_TRUE(logged("ended: crowded"));
}

// ---- Connections

TEST_F(ConnectionEndingTest, CallerThatClosesSlowlyIsNotReset) {
  TestSocket peer = connect_client();
  peer.write(health_check(0));
  run_loop_for(300 * kMs);  // the server closed its side long ago, and the caller still sends
  peer.write("bytes on the way in");
  run_loop_for(20 * kMs);
  EXPECT_EQ(socket_error(peer), 0);
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  peer.close();
  EXPECT_TRUE(eventually([&] { return fastcgi_server.connections() == 0; }));
}

// A caller whose request crosses the server's close retries only once the connection has ended. When an
// earlier answer could take a minute, that caller used to wait until the stop.
TEST_F(ConnectionEndingTest, ConnectionOfARequestThatCrossesTheCloseEndsWithinASecond) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + first) == 1; }));
  fastcgi_server.stop_accepting();
  harness.done(first);
  EXPECT_TRUE(receives(peer, "(end)"));
  Nanos close_time = loop.now();
  peer.try_write(request(2, "/api/v2/read", second));
  EXPECT_TRUE(eventually([&] { return finished; }));
  EXPECT_LT(loop.now() - close_time, kSecond);
  EXPECT_EQ(harness.count("run " + second), 0);
}

TEST_F(ConnectionEndingTest, RequestBeforeMalformedBytesIsAnswered) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + first) == 1; }));
  peer.write("GET / HTTP/1.1\r\n\r\n");
  run_loop_for(20 * kMs);
  EXPECT_EQ(peer.read(), "");
  harness.done(first);
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  EXPECT_FALSE(logged("ended: reset"));
}

// Three invalid requests used to close their connection while another request on it was running.
TEST_F(ConnectionEndingTest, RunningRequestIsAnsweredDespiteInvalidOnesOnItsConnection) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + first) == 1; }));
  for (int i = 2; i <= 4; ++i) peer.write(request(i, "/api/v2/nothing", second));
  run_loop_for(300 * kMs);
  harness.done(first);
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 500"), 3);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
}

// A request that arrived while the last answers were being sent, before the server's close, used to be
// discarded unread.
TEST_F(ConnectionEndingTest, RequestReceivedBeforeTheServersCloseIsAnswered) {
  TestSocket peer;
  peer.set_receive_buffer(2'048);
  peer.connect(port);
  run_loop_for(5 * kMs);
  const std::string large(200'000, 'r');
  peer.write(request(1, "/api/v2/read", first, 0));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + first) == 1; }));
  harness.done(first, Outcome::kOk, large);
  run_loop_for(20 * kMs);  // exceeds the socket buffers, so a part is unsent
  peer.write(request(2, "/api/v2/read", second));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + second) == 1; }));
  std::string all;
  eventually([&] { return (all += peer.read()).size() > 150'000; });
  harness.done(second, Outcome::kOk, "of the second");
  all += read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 2);
  EXPECT_TRUE(all.ends_with("(end)"));
}

// A request read after the server's close could not be answered, and its caller assumes that it never ran.
TEST_F(ConnectionEndingTest, RequestReceivedAfterTheServersCloseDoesNotRun) {
  TestSocket peer = connect_client();
  peer.write(health_check());
  EXPECT_TRUE(receives(peer, "Status: 200"));
  fastcgi_server.close_idle(20 * kMs);
  EXPECT_TRUE(receives(peer, "(end)"));
  peer.try_write(request(1, "/api/v2/read", first));
  run_loop_for(30 * kMs);
  EXPECT_EQ(harness.count("run " + first), 0);
  EXPECT_EQ(socket_error(peer), 0);
}

// The request waits to be read in the loop iteration in which its connection's idle time expires.
TEST_F(ConnectionEndingTest, UnreadRequestKeepsAnIdleConnectionOpen) {
  TestSocket peer = connect_client();
  peer.write(health_check());
  EXPECT_TRUE(receives(peer, "Status: 200"));
  // Both timers expire in one loop iteration, before the loop knows of the bytes that the first one writes.
  Timer write_timer(loop.base(), [&] { peer.write(health_check()); });
  write_timer.set(0);
  fastcgi_server.close_idle(30 * kMs);
  usleep(60'000);
  EXPECT_TRUE(receives(peer, "Status: 200"));
}

TEST_F(ConnectionEndingTest, EachOfManyRequestsInOneWriteIsAnsweredOnce) {
  TestSocket peer = connect_client();
  std::string unsent;
  for (int i = 0; i < 300; ++i) unsent += health_check();
  std::string received;
  EXPECT_TRUE(eventually([&] {
    if (!unsent.empty()) unsent.erase(0, peer.send_available(unsent));
    return count_occurrences(received += peer.read(), "Status: 200") >= 300;
  }));
  run_loop_for(10 * kMs);
  EXPECT_EQ(count_occurrences(received + peer.read(), "Status: 200"), 300);
}

TEST_F(ConnectionEndingTest, EachOfManySimultaneousConnectionsIsAnswered) {
  std::vector<TestSocket> peers;
  for (int i = 0; i < 60; ++i) {
    peers.push_back(connect_without_running_loop());
    peers.back().write(health_check(0));
  }
  for (TestSocket& peer : peers) {
    std::string all = read_to_end(peer);
    EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
    EXPECT_TRUE(all.ends_with("(end)"));
  }
}

// ---- stop_accepting()

// A connection whose reading is paused, because the caller leaves answers unread, used to be closed with
// requests on it unanswered.
TEST_F(ConnectionEndingTest, FinishAnswersRequestsOnAPausedConnection) {
  TestSocket peer;
  peer.set_receive_buffer(2'048);
  peer.connect(port);
  run_loop_for(5 * kMs);
  const std::string large(4'000, 'r');
  int sent = 0;
  while (fastcgi_server.slow_client_policy().count(peers::State::kPaused) +
                 fastcgi_server.slow_client_policy().count(peers::State::kWriteStalled) ==
             0 &&
         sent < 200) {
    std::string id = "00000000000" + std::to_string(10'000 + sent++);
    peer.write(request(sent % 32 + 1, "/api/v2/read", id));
    ASSERT_TRUE(eventually([&] {
      return harness.count("run " + id) == 1 ||
             fastcgi_server.slow_client_policy().count(peers::State::kPaused) > 0;
    }));
    harness.done(id, Outcome::kOk, large);
    run_loop_for(kMs);
  }
  peer.write(health_check());
  run_loop_for(5 * kMs);
  fastcgi_server.stop_accepting();
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), sent + 1);
  EXPECT_TRUE(all.ends_with("(end)"));
}

TEST_F(ConnectionEndingTest, PartialRequestIsAnsweredIfItsRestArrivesSoonAfterFinish) {
  TestSocket peer = connect_client();
  std::string complete_request = health_check();
  peer.write(complete_request.substr(0, 20));
  run_loop_for(5 * kMs);
  fastcgi_server.stop_accepting();
  run_loop_for(150 * kMs);
  peer.write(complete_request.substr(20));
  std::string all = read_to_end(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
}

TEST_F(ConnectionEndingTest, PartialRequestDelaysFinishByLessThanASecond) {
  TestSocket peer = connect_client();
  peer.write(health_check().substr(0, 20));
  run_loop_for(5 * kMs);
  fastcgi_server.stop_accepting();
  Nanos finish_time = loop.now();
  EXPECT_TRUE(eventually([&] { return finished; }));
  EXPECT_LT(loop.now() - finish_time, kSecond);
  EXPECT_GT(loop.now() - finish_time, 300 * kMs);
}

// ---- Warming up

// 25 senders, each on its own connection and unaware of the others, send at once and again after each answer.
// Together they must never run more requests than a cold server survives, and rejected senders must be told
// to hold off while others wait.
struct WarmUpTest : ConnectionEndingTest, testing::WithParamInterface<unsigned> {
  static constexpr int kSenders = 25;
  static ServiceConfig options() {
    ServiceConfig options = high_dependency_share_config();
    options.warming_up = true;
    options.warm_up_initial_speed = 0.25;
    options.warm_up_time = 60 * kSecond;
    return options;
  }
  // Returns how many requests a cold server may run at once under these settings.
  static double max_cold_concurrency() {
    ServiceConfig config = options();
    return config.cores * (1 + (config.max_running_per_core - 1) * config.warm_up_initial_speed);
  }
};

TEST_P(WarmUpTest, ManySendersDoNotExceedTheConcurrencyOfAColdServer) {
  ServiceHarness warming_up(options(), 1'000);
  warming_up.time = loop.now();
  warming_up.engine_up();
  int server_port = free_port();
  FastCgiServer warming_server(loop, *this, at_port(server_port), 64, 4'000'000);
  warming_server.serve(warming_up.service, [] {});
  std::mt19937 random(GetParam());
  std::vector<TestSocket> senders(kSenders);
  std::vector<std::string> received(kSenders);
  for (TestSocket& sender : senders) sender.connect(server_port);
  std::uint64_t trace_count = 0;
  std::vector<std::string> running;
  std::size_t actions_processed = 0;
  double max_running = 0;
  int sent = 0;
  int completed = 0;
  bool hold_off_advised = false;
  int rounds = 0;
  auto send = [&](int sender) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++trace_count));
    senders[sender].write(request(static_cast<int>(trace_count % 30) + 1, "/api/v2/read", id));
    ++sent;
  };
  std::vector<int> order(kSenders);
  for (int i = 0; i < kSenders; ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), random);
  run_loop_for(10 * kMs);
  for (int sender : order) {
    for (int i = 0; i < 4; ++i) send(sender);
  }
  for (Nanos end = loop.now() + 1'500 * kMs; loop.now() < end; ++rounds) {
    run_loop_for(kMs);
    warming_up.advance_time(std::max<Nanos>(0, loop.now() - warming_up.time));
    warming_up.service.engine().stats(warming_up.last_token,
                                      {1.0, static_cast<double>(running.size()), 0.1, 25});
    for (; actions_processed < warming_up.did.size(); ++actions_processed) {
      if (warming_up.did[actions_processed].starts_with("run "))
        running.push_back(warming_up.did[actions_processed].substr(4));
    }
    max_running = std::max(max_running, static_cast<double>(running.size()));
    if (!running.empty() && rounds % 20 == 0) {
      std::size_t index = random() % running.size();
      std::string id = running[index];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
      warming_up.done(id);
    }
    for (int i = 0; i < kSenders; ++i) {
      received[i] += senders[i].read();
      int answers = count_occurrences(received[i], "Status: ");
      completed += count_occurrences(received[i], "Status: 200");
      hold_off_advised = hold_off_advised || received[i].find("Hold-Off-Ms") != std::string::npos;
      if (answers == 0 || sent > 2'000) continue;
      received[i].clear();
      for (int n = 0; n < answers; ++n) send(i);
    }
  }
  EXPECT_LE(max_running, max_cold_concurrency());
  EXPECT_GT(completed, 5);
  EXPECT_GT(sent, 200);
  EXPECT_TRUE(hold_off_advised);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WarmUpTest, testing::Values(1u, 2u, 3u, 4u, 5u));

// ---- Engine link

TEST_F(NetTest, SilentEngineLinkIsReconnected) {
  TestSocket listener;
  EngineClient link(loop, *this, at_port(listener.listen()), 65'536, 200 * kMs);
  service::EngineSession session(link, harness.service);
  link.begin(session);
  TestSocket engine = accept_connection(listener);
  ASSERT_TRUE(receives(engine, "ATTACH"));
  engine.write("{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":5}\n");
  ASSERT_TRUE(receives(engine, "STAT"));
  // Occasional notices keep the link open.
  for (int i = 1; i <= 4; ++i) {
    run_loop_for(120 * kMs);
    engine.write("{\"cmd\":\"NOTE\",\"offset\":" + std::to_string(i) + "}\n");
  }
  run_loop_for(5 * kMs);
  EXPECT_FALSE(logged("engine link ended"));
  TestSocket reconnected = accept_connection(listener);
  EXPECT_TRUE(logged("engine link ended: silent"));
  EXPECT_TRUE(receives(reconnected, "{\"cmd\":\"ATTACH\",\"offset\":4}\n"));
}

// A notice cut off after any of its bytes is processed once, when it arrives complete.
TEST_F(NetTest, NoticeCutOffAtAnyByteIsProcessedOnce) {
  TestSocket listener;
  EngineClient link(loop, *this, at_port(listener.listen()));
  link.begin(harness.service.engine());
  const std::string hello = "{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":5}\n";
  std::string done =
      "{\"cmd\":\"DONE\",\"offset\":1,\"req\":\"a\",\"result\":\"success\",\"payload\":\"QUJD\"}\n";
  TestSocket engine;
  auto attach = [&] {
    engine = accept_connection(listener);
    std::uint64_t previous_token = harness.last_token;
    engine.write(hello);
    EXPECT_TRUE(eventually([&] { return harness.last_token > previous_token; }));
    harness.answer_gauges();
  };
  attach();
  Caller& caller = harness.read("a", kReadClass, "", 60 * kSecond);
  for (std::size_t cut = 1; cut <= done.size(); ++cut) {
    engine.write(done.substr(0, cut));
    run_loop_for(kMs);
    EXPECT_EQ(caller.answers.size(), cut == done.size() ? 1u : 0u);
    cut % 2 ? engine.reset() : engine.close();
    attach();
  }
  EXPECT_EQ(caller.single_answer(), "completed ABC");
}

// ---- Database

// A reply cut off after any of its bytes is not used, and its call may have run.
TEST_F(NetTest, ReplyCutOffAtAnyByteIsDiscarded) {
  TestSocket listener;
  DatabaseClient database(loop, *this, at_port(listener.listen()), 4);
  database.begin(harness.service);
  harness.engine_up();
  for (std::size_t cut = 0; cut <= 14; ++cut) {
    std::string id = "a" + std::to_string(cut + 10);
    const std::string reply = id + " ROWS 3\r\nnew\r\n";
    service::ServerRequest& request = *harness.read(id, kOptionalCallClass).request;
    harness.request_call(id);
    database.call(request.id, "x", 250 * kMs);
    TestSocket peer = accept_connection(listener);
    ASSERT_TRUE(receives(peer, "Q " + id));
    peer.write(reply.substr(0, cut));
    run_loop_for(kMs);
    cut % 2 ? peer.reset() : peer.close();
    EXPECT_TRUE(eventually([&] { return request.lost_call_count == 1; })) << cut;
    EXPECT_EQ(harness.count("feed " + id + " new"), 0);
    harness.done(id);
  }
}

// Two calls share a connection that breaks. While the loss of the first call is handled, the second call is
// abandoned and made again. The break must not be reported for that new call.
TEST_F(NetTest, BrokenConnectionIsNotReportedToACallMadeAgainMeanwhile) {
  TestSocket listener;
  DatabaseClient database(loop, *this, at_port(listener.listen()), 1);
  database.begin(harness.service);
  harness.engine_up();
  service::ServerRequest* requests[2] = {};
  for (int i = 0; i < 2; ++i) {
    std::string id = i ? "b" : "a";
    requests[i] = harness.read(id, kOptionalCallClass).request;
    harness.request_call(id);
    database.call(requests[i]->id, "x", 250 * kMs);
  }
  ASSERT_EQ(harness.count("call a") + harness.count("call b"), 2);
  TestSocket shared_connection = accept_connection(listener);
  ASSERT_TRUE(receives(shared_connection, "Q b"));
  harness.on_call = [&](const std::string& request_id) {
    if (request_id != requests[0]->id) return;
    database.abandon_call(requests[1]->id);
    database.call(requests[1]->id, "again", 250 * kMs);
  };
  shared_connection.reset();
  TestSocket new_connection = accept_connection(listener);
  EXPECT_TRUE(receives(new_connection, "again"));
  EXPECT_EQ(requests[0]->lost_call_count, 1);
  EXPECT_EQ(requests[1]->lost_call_count, 0);
}

// ---- Membership

struct MembershipClientTest : NetTest {
  MembershipClientTest() : service_socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) { bind_service(0); }
  ~MembershipClientTest() override { ::close(service_socket); }
  void bind_service(int port_number) {
    sockaddr_in address = at_port(port_number);
    socklen_t size = sizeof address;
    EXPECT_EQ(::bind(service_socket, reinterpret_cast<sockaddr*>(&address), size), 0);
    ::getsockname(service_socket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  bool receives_report(const std::string& line) {
    return eventually([&] {
      char bytes[64];
      ssize_t bytes_received = ::recv(service_socket, bytes, sizeof bytes, 0);
      return bytes_received > 0 && std::string(bytes, static_cast<std::size_t>(bytes_received)) == line;
    });
  }
  int service_socket;
  int port = 0;
};

TEST_F(MembershipClientTest, SocketThatCouldNotBeOpenedAtStartIsOpenedLater) {
  std::optional<NoFreeDescriptors> no_descriptors(std::in_place);
  MembershipClient membership(loop, "n1", at_port(port));
  membership.report(true);
  no_descriptors.reset();
  EXPECT_TRUE(receives_report("HB n1 UP"));
}

// A datagram to a port without a listener comes back as an error of the next send.
TEST_F(MembershipClientTest, HealthIsReportedOnceTheServiceIsBack) {
  int service_port = port;
  ::close(service_socket);
  MembershipClient membership(loop, "n1", at_port(service_port));
  membership.report(true);
  run_loop_for(250 * kMs);
  service_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  bind_service(service_port);
  EXPECT_TRUE(receives_report("HB n1 UP"));
}

// ---- Server program

// A named pipe as settings file blocks the server in its start. A SIGTERM there used to kill the server,
// because it arrived before the server handled the signal.
TEST_F(ProgramTest, SigtermDuringStartExitsWithCodeZero) {
  std::string settings_pipe = config + ".held";
  ASSERT_EQ(mkfifo(settings_pipe.c_str(), 0600), 0);
  setenv("MYRTLECROFT_SETTINGS", settings_pipe.c_str(), 1);
  start();
  unsetenv("MYRTLECROFT_SETTINGS");
  int writer = -1;  // opens only once the server has reached the pipe
  ASSERT_TRUE(eventually(
      [&] { return writer >= 0 || (writer = open(settings_pipe.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
  kill(server_pid, SIGTERM);
  kill(server_pid, SIGHUP);
  const std::string settings = "version = 1;\n";
  std::ofstream(settings_pipe + ".whole") << settings;  // read by the reload
  EXPECT_EQ(std::rename((settings_pipe + ".whole").c_str(), settings_pipe.c_str()), 0);
  EXPECT_EQ(::write(writer, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
  ::close(writer);
  EXPECT_EQ(exit_code(), 0);
  std::remove(settings_pipe.c_str());
}

TEST_F(ProgramTest, SignalsAndReloadsDuringADrainLoseNoAnswer) {
  start();
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  peer.write(FastCgiServerTest::request(1, "/api/v2/read", "00000000000000aa"));
  EXPECT_TRUE(receives(engine, "RUN"));
  kill(server_pid, SIGTERM);
  bool reported_out = false;
  EXPECT_TRUE(eventually([&] { return reported_out = reported_out || received_report("HB n7 OUT"); }));
  kill(server_pid, SIGTERM);
  kill(server_pid, SIGINT);
  TestSocket new_listener;
  write_config(new_listener.listen(), 9);
  kill(server_pid, SIGHUP);
  TestSocket new_link = accept_connection(new_listener);
  ASSERT_FALSE(HasFailure());
  EXPECT_TRUE(receives(new_link, "ATTACH"));
  new_link.write(kHelloLine + done_line(1, "00000000000000aa"));
  EXPECT_TRUE(receives(peer, "\r\n\r\nABC"));
  EXPECT_TRUE(receives(peer, "(end)"));
  peer.close();
  EXPECT_EQ(exit_code(), 0);
}

// Idle clients use up the descriptors before the engine is connected, and the membership service is down. The
// engine link, health checks and requests must still get through, and no accepted connection may starve.
TEST_F(ProgramTest, IdleClientsDoNotBlockOtherConnections) {
  write_config(listener_port, free_port(), 64);
  start();
  std::vector<TestSocket> idle_clients(120);
  ASSERT_TRUE(eventually([&] {
    TestSocket probe;
    probe.connect(port);
    usleep(1'000);
    return probe.send_available("x") > 0;
  }));
  for (TestSocket& idle_client : idle_clients) idle_client.connect(port);
  usleep(50'000);
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  peer.write(FastCgiServerTest::request(1, "/-/healthy", ""));
  EXPECT_TRUE(receives(peer, "Status: 200"));
  for (TestSocket& idle_client : idle_clients)
    idle_client.try_write(FastCgiServerTest::request(1, "/-/healthy", "").substr(0, 10));
  peer.write(FastCgiServerTest::request(2, "/api/v2/read", "00000000000000aa"));
  EXPECT_TRUE(receives(engine, "RUN"));
  engine.write(done_line(1, "00000000000000aa"));
  EXPECT_TRUE(receives(peer, "\r\n\r\nABC"));
  TestSocket new_client = connect_client();
  new_client.write(FastCgiServerTest::request(1, "/-/healthy", ""));
  EXPECT_TRUE(receives(new_client, "Status: 200"));
  kill(server_pid, SIGTERM);
  new_client.close(), peer.close(), idle_clients.clear();
  EXPECT_EQ(exit_code(), 0);
}

// The engine never answers and the caller never closes. Every request is still answered, and the server exits
// before it would be killed.
TEST_F(ProgramTest, EveryRequestIsAnsweredBeforeTheStopDeadline) {
  start();
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  for (int i = 1; i <= 5; ++i)
    peer.write(FastCgiServerTest::request(i, "/api/v2/read", "00000000000000a" + std::to_string(i)));
  EXPECT_TRUE(receives(engine, "a2\""));
  kill(server_pid, SIGTERM);
  std::string all;
  EXPECT_TRUE(eventually([&] { return (all += peer.read()).ends_with("(end)"); }));
  EXPECT_EQ(count_occurrences(all, "Status: "), 5);
  EXPECT_EQ(exit_code(), 0);
}

}  // namespace
}  // namespace myrtlecroft::net
