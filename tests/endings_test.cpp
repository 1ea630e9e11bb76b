// What ends while something is still owed: the crossings are forced, by a hook in accept4 or by holding bytes
// back. docs/endings.md has a row for each.
#include <sys/syscall.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <random>

#include "net/membership_client.h"
#include "program_story.h"

namespace {

// Stands before the system's accept4, in this program alone.
std::function<int(int calls_so_far)> g_before_accept;  // the error to fail with; 0: none
std::function<void()> g_after_last_accept;
int g_accepts = 0;

}  // namespace

extern "C" int accept4(int socket, sockaddr* from, socklen_t* size, int flags) {
  int error = g_before_accept ? g_before_accept(g_accepts++) : 0;
  if (error) {
    errno = error;
    return -1;
  }
  int got = static_cast<int>(syscall(SYS_accept4, socket, from, size, flags));
  if (got >= 0 || errno != EAGAIN || !g_after_last_accept) return got;
  std::exchange(g_after_last_accept, nullptr)();
  errno = EAGAIN;
  return -1;
}

namespace myrtlecroft::net {
namespace {

constexpr int kHealth = 9;  // the request's number

struct ConnectionEndingTest : FastCgiServerTest {
  explicit ConnectionEndingTest(const peers::SlowClientOptions& options = {})
      : FastCgiServerTest(64, 4'000'000, options, 1'000'000) {}
  ~ConnectionEndingTest() override {
    g_before_accept = nullptr;
    g_after_last_accept = nullptr;
  }
  static std::string health(int flags = 1) { return request(kHealth, "/-/healthy", "", flags); }
  static int error_of(const TestSocket& peer) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(peer.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  // All until our end; "(reset)" at its end if it was none in order.
  std::string all_of(TestSocket& peer) {
    std::string all;
    eventually([&] {
      all += peer.read();
      return all.ends_with("(end)") || error_of(peer) != 0;
    });
    return all.ends_with("(end)") ? all : all + "(reset)";
  }
};

// ---- The listener

// Every error of accept was taken for an empty backlog: callers in it were reset with the listener.
struct AcceptErrors : ConnectionEndingTest, testing::WithParamInterface<int> {};

TEST_P(AcceptErrors, OnTheWayOutThoseInTheBacklogAreAnswered) {
  TestSocket peer = connect_without_running_loop();
  peer.write(health());
  g_accepts = 0;
  g_before_accept = [](int call) { return call == 0 ? GetParam() : 0; };
  fastcgi_server.finish();
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  peer.close();
  EXPECT_TRUE(eventually([&] { return finished; }));
}

INSTANTIATE_TEST_SUITE_P(FastCgiServer, AcceptErrors,
                         testing::Values(EMFILE, ENFILE, ENOBUFS, EINTR, ECONNABORTED, EPROTO));

// A caller that came in after the last accept was reset by the close, its request written.
TEST_F(ConnectionEndingTest, NobodyIsLetInBetweenTheLastAcceptAndTheClose) {
  TestSocket late;
  bool let_in = false;
  g_after_last_accept = [&] {
    late.connect(port);
    for (int i = 0; i < 50 && !let_in; ++i) {
      usleep(100);
      let_in = late.send_available(health()) > 0;
    }
  };
  fastcgi_server.finish();
  EXPECT_TRUE(eventually([&] { return finished; }));
  if (let_in) {
    EXPECT_EQ(count_occurrences(all_of(late), "Status: 200"), 1);
  } else {
    EXPECT_TRUE(eventually([&] { return error_of(late) == ECONNREFUSED; }));
  }
}

// Where fewer descriptors are to be had than was told, callers that rest kept all others out for good.
TEST_F(ConnectionEndingTest, OutOfDescriptorsThoseThatRestGiveWay) {
  std::vector<TestSocket> resting;
  for (int i = 0; i < 4; ++i) {
    resting.push_back(connect_client());
    resting.back().write(health());
    EXPECT_TRUE(receives(resting.back(), "Status: 200"));
  }
  TestSocket next;
  {
    NoFreeDescriptors none;
    next.connect(port);
    next.write(health());
    EXPECT_TRUE(receives(next, "Status: 200"));
  }
  EXPECT_TRUE(logged("ended: crowded"));
}

// ---- Connections

TEST_F(ConnectionEndingTest, ACallerSlowToCloseMeetsNoReset) {
  TestSocket peer = connect_client();
  peer.write(health(0));
  run_loop_for(300 * kMs);  // our end is there since long, and it is still busy sending
  peer.write("bytes on the way in");
  run_loop_for(20 * kMs);
  EXPECT_EQ(error_of(peer), 0);
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  peer.close();
  EXPECT_TRUE(eventually([&] { return fastcgi_server.connections() == 0; }));
}

// Its sender waits for us before it asks again: with the answer before it owed for a minute, it waited up to
// the stop.
TEST_F(ConnectionEndingTest, WhatCrossesOurCloseIsSettledSoon) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return world.count("run " + first) == 1; }));
  fastcgi_server.finish();
  world.done(first);
  EXPECT_TRUE(receives(peer, "(end)"));
  Nanos since = loop.now();
  peer.try_write(request(2, "/api/v2/read", second));
  EXPECT_TRUE(eventually([&] { return finished; }));
  EXPECT_LT(loop.now() - since, kSecond);
  EXPECT_EQ(world.count("run " + second), 0);
}

TEST_F(ConnectionEndingTest, WhatCameBeforeBytesThatMakeNoSenseIsAnswered) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return world.count("run " + first) == 1; }));
  peer.write("GET / HTTP/1.1\r\n\r\n");
  run_loop_for(20 * kMs);
  EXPECT_EQ(peer.read(), "");
  world.done(first);
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
  EXPECT_FALSE(logged("ended: reset"));
}

// The connection was closed over what ran beside three requests that made no sense.
TEST_F(ConnectionEndingTest, WhatRunsBesideWhatIsUnfoundedIsAnswered) {
  TestSocket peer = connect_client();
  peer.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return world.count("run " + first) == 1; }));
  for (int i = 2; i <= 4; ++i) peer.write(request(i, "/api/v2/nothing", second));
  run_loop_for(300 * kMs);
  world.done(first);
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 500"), 3);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
}

// A request that came while the last answers were being sent, before our close, was drained unread.
TEST_F(ConnectionEndingTest, ARequestThatComesBeforeOurCloseIsAnswered) {
  TestSocket peer;
  peer.set_receive_buffer(2'048);
  peer.connect(port);
  run_loop_for(5 * kMs);
  const std::string large(200'000, 'r');
  peer.write(request(1, "/api/v2/read", first, 0));
  ASSERT_TRUE(eventually([&] { return world.count("run " + first) == 1; }));
  world.done(first, Outcome::kOk, large);
  run_loop_for(20 * kMs);  // more than the kernels hold: not sent whole
  peer.write(request(2, "/api/v2/read", second));
  ASSERT_TRUE(eventually([&] { return world.count("run " + second) == 1; }));
  std::string all;
  eventually([&] { return (all += peer.read()).size() > 150'000; });
  world.done(second, Outcome::kOk, "of the second");
  all += all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 2);
  EXPECT_TRUE(all.ends_with("(end)"));
}

// Read after our close it could not be answered: whoever sent it takes it for one that never ran.
TEST_F(ConnectionEndingTest, WhatComesAfterOurCloseDoesNotRun) {
  TestSocket peer = connect_client();
  peer.write(health());
  EXPECT_TRUE(receives(peer, "Status: 200"));
  fastcgi_server.close_idle(20 * kMs);
  EXPECT_TRUE(receives(peer, "(end)"));
  peer.try_write(request(1, "/api/v2/read", first));
  run_loop_for(30 * kMs);
  EXPECT_EQ(world.count("run " + first), 0);
  EXPECT_EQ(error_of(peer), 0);
}

// A request that waits to be read in the turn in which its resting connection falls due.
TEST_F(ConnectionEndingTest, ARequestThatWaitsKeepsARestingConnection) {
  TestSocket peer = connect_client();
  peer.write(health());
  EXPECT_TRUE(receives(peer, "Status: 200"));
  // Both timers are over in one turn, and the loop knows nothing yet of what the first one writes.
  Timer before(loop.base(), [&] { peer.write(health()); });
  before.set(0);
  fastcgi_server.close_idle(30 * kMs);
  usleep(60'000);
  EXPECT_TRUE(receives(peer, "Status: 200"));
}

TEST_F(ConnectionEndingTest, ManyRequestsInOneWriteAreAnsweredEachOnce) {
  TestSocket peer = connect_client();
  std::string all;
  for (int i = 0; i < 300; ++i) all += health();
  std::string got;
  EXPECT_TRUE(eventually([&] {
    if (!all.empty()) all.erase(0, peer.send_available(all));
    return count_occurrences(got += peer.read(), "Status: 200") >= 300;
  }));
  run_loop_for(10 * kMs);
  EXPECT_EQ(count_occurrences(got + peer.read(), "Status: 200"), 300);
}

TEST_F(ConnectionEndingTest, ManyConnectionsAtOnceAreAnsweredEach) {
  std::vector<TestSocket> peers;
  for (int i = 0; i < 60; ++i) {
    peers.push_back(connect_without_running_loop());
    peers.back().write(health(0));
  }
  for (TestSocket& peer : peers) {
    std::string all = all_of(peer);
    EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
    EXPECT_TRUE(all.ends_with("(end)"));
  }
}

// ---- On the way out

// Those whose reading is held back, since they leave answers unread, were closed over what they had sent.
TEST_F(ConnectionEndingTest, WhatACallerSentThatIsHeldBackIsAnswered) {
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
      return world.count("run " + id) == 1 ||
             fastcgi_server.slow_client_policy().count(peers::State::kPaused) > 0;
    }));
    world.done(id, Outcome::kOk, large);
    run_loop_for(kMs);
  }
  peer.write(health());
  run_loop_for(5 * kMs);
  fastcgi_server.finish();
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), sent + 1);
  EXPECT_TRUE(all.ends_with("(end)"));
}

TEST_F(ConnectionEndingTest, TheRestOfARequestThatComesSoonIsTaken) {
  TestSocket peer = connect_client();
  std::string whole = health();
  peer.write(whole.substr(0, 20));
  run_loop_for(5 * kMs);
  fastcgi_server.finish();
  run_loop_for(150 * kMs);
  peer.write(whole.substr(20));
  std::string all = all_of(peer);
  EXPECT_EQ(count_occurrences(all, "Status: 200"), 1);
  EXPECT_TRUE(all.ends_with("(end)"));
}

TEST_F(ConnectionEndingTest, TheRestOfARequestThatNeverComesHoldsNobodyUp) {
  TestSocket peer = connect_client();
  peer.write(health().substr(0, 20));
  run_loop_for(5 * kMs);
  fastcgi_server.finish();
  Nanos since = loop.now();
  EXPECT_TRUE(eventually([&] { return finished; }));
  EXPECT_LT(loop.now() - since, kSecond);
  EXPECT_GT(loop.now() - since, 300 * kMs);
}

// ---- Cold

// 25 senders, each with a connection of its own and none knowing of the others, at once and again after each
// answer they get: together they never have more on the cores than a cold server survives, and who is sent
// away is told to stay away while others wait.
struct WarmUpTest : ConnectionEndingTest, testing::WithParamInterface<unsigned> {
  static constexpr int kSenders = 25;
  static ServiceConfig options() {
    ServiceConfig options = high_dependency_share_config();
    options.warming_up = true;
    options.warm_up_initial_speed = 0.25;
    options.warm_up_time = 60 * kSecond;
    return options;
  }
  // What the settings let a cold server with these terms have on its cores at once.
  static double survives() {
    ServiceConfig its = options();
    return its.cores * (1 + (its.max_running_per_core - 1) * its.warm_up_initial_speed);
  }
};

TEST_P(WarmUpTest, ManySendersTogetherStayWithinWhatAColdServerSurvives) {
  FakeWorld warming_up(options(), 1'000);
  warming_up.time = loop.now();
  warming_up.engine_up();
  int own = free_port();
  FastCgiServer door(loop, *this, at_port(own), 64, 4'000'000);
  door.serve(warming_up.service, [] {});
  std::mt19937 random(GetParam());
  std::vector<TestSocket> senders(kSenders);
  std::vector<std::string> got(kSenders);
  for (TestSocket& each : senders) each.connect(own);
  std::uint64_t traces = 0;
  std::vector<std::string> running;
  std::size_t seen = 0;
  double max = 0;
  int sent = 0;
  int completed = 0;
  bool advised = false;
  int rounds = 0;
  auto send = [&](int sender) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++traces));
    senders[sender].write(request(static_cast<int>(traces % 30) + 1, "/api/v2/read", id));
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
    warming_up.pass(std::max<Nanos>(0, loop.now() - warming_up.time));
    warming_up.service.engine().stats(warming_up.last_token,
                                      {1.0, static_cast<double>(running.size()), 0.1, 25});
    for (; seen < warming_up.did.size(); ++seen) {
      if (warming_up.did[seen].starts_with("run ")) running.push_back(warming_up.did[seen].substr(4));
    }
    max = std::max(max, static_cast<double>(running.size()));
    if (!running.empty() && rounds % 20 == 0) {
      std::size_t which = random() % running.size();
      std::string id = running[which];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
      warming_up.done(id);
    }
    for (int i = 0; i < kSenders; ++i) {
      got[i] += senders[i].read();
      int answers = count_occurrences(got[i], "Status: ");
      completed += count_occurrences(got[i], "Status: 200");
      advised = advised || got[i].find("Hold-Off-Ms") != std::string::npos;
      if (answers == 0 || sent > 2'000) continue;
      got[i].clear();
      for (int n = 0; n < answers; ++n) send(i);
    }
  }
  EXPECT_LE(max, survives());
  EXPECT_GT(completed, 5);
  EXPECT_GT(sent, 200);
  EXPECT_TRUE(advised);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WarmUpTest, testing::Values(1u, 2u, 3u, 4u, 5u));

// ---- Engine

TEST_F(NetTest, ALinkThatSaysNothingIsMadeAnew) {
  TestSocket listener;
  EngineClient link(loop, *this, at_port(listener.listen()), 65'536, 200 * kMs);
  service::EngineSession session(link, world.service);
  link.begin(session);
  TestSocket engine = accept_connection(listener);
  ASSERT_TRUE(receives(engine, "ATTACH"));
  engine.write("{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":5}\n");
  ASSERT_TRUE(receives(engine, "STAT"));
  // It speaks, if only now and then.
  for (int i = 1; i <= 4; ++i) {
    run_loop_for(120 * kMs);
    engine.write("{\"cmd\":\"NOTE\",\"offset\":" + std::to_string(i) + "}\n");
  }
  run_loop_for(5 * kMs);
  EXPECT_FALSE(logged("engine link ended"));
  TestSocket again = accept_connection(listener);
  EXPECT_TRUE(logged("engine link ended: silent"));
  EXPECT_TRUE(receives(again, "{\"cmd\":\"ATTACH\",\"offset\":4}\n"));
}

// A notice that breaks off at any of its bytes is taken once, when it comes whole.
TEST_F(NetTest, ANoticeThatBreaksOffAnywhereIsTakenOnce) {
  TestSocket listener;
  EngineClient link(loop, *this, at_port(listener.listen()));
  link.begin(world.service.engine());
  const std::string hello = "{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":5}\n";
  std::string done =
      "{\"cmd\":\"DONE\",\"offset\":1,\"req\":\"a\",\"result\":\"success\",\"payload\":\"QUJD\"}\n";
  TestSocket engine;
  auto attach = [&] {
    engine = accept_connection(listener);
    std::uint64_t asked = world.last_token;
    engine.write(hello);
    EXPECT_TRUE(eventually([&] { return world.last_token > asked; }));
    world.answer_gauges();
  };
  attach();
  Caller& caller = world.read("a", kReadClass, "", 60 * kSecond);
  for (std::size_t cut = 1; cut <= done.size(); ++cut) {
    engine.write(done.substr(0, cut));
    run_loop_for(kMs);
    EXPECT_EQ(caller.answers.size(), cut == done.size() ? 1u : 0u);
    cut % 2 ? engine.reset() : engine.close();
    attach();
  }
  EXPECT_EQ(caller.only(), "completed ABC");
}

// ---- Database

// A reply that breaks off at any of its bytes tells nothing, and its call may have run.
TEST_F(NetTest, AReplyThatBreaksOffAnywhereIsNoReply) {
  TestSocket listener;
  DatabaseClient database(loop, *this, at_port(listener.listen()), 4);
  database.begin(world.service);
  world.engine_up();
  for (std::size_t cut = 0; cut <= 14; ++cut) {
    std::string id = "a" + std::to_string(cut + 10);
    const std::string reply = id + " ROWS 3\r\nnew\r\n";
    service::ServerRequest& request = *world.read(id, kSkipperClass).request;
    world.need(id);
    database.call(request, "x", 250 * kMs);
    TestSocket peer = accept_connection(listener);
    ASSERT_TRUE(receives(peer, "Q " + id));
    peer.write(reply.substr(0, cut));
    run_loop_for(kMs);
    cut % 2 ? peer.reset() : peer.close();
    EXPECT_TRUE(eventually([&] { return request.lost_call_count == 1; })) << cut;
    EXPECT_EQ(world.count("feed " + id + " new"), 0);
    world.done(id);
  }
}

// Two calls share a connection that breaks. What the first one's request makes of it gives up the second
// call and makes it anew: the break is not the new call's.
TEST_F(NetTest, ABreakIsNotToldOfACallThatWasGivenUpMeanwhile) {
  TestSocket listener;
  DatabaseClient database(loop, *this, at_port(listener.listen()), 1);
  database.begin(world.service);
  world.engine_up();
  service::ServerRequest* calling[2] = {};
  for (int i = 0; i < 2; ++i) {
    std::string id = i ? "b" : "a";
    calling[i] = world.read(id, kSkipperClass).request;
    world.need(id);
    database.call(*calling[i], "x", 250 * kMs);
  }
  ASSERT_EQ(world.count("call a") + world.count("call b"), 2);
  TestSocket shared = accept_connection(listener);
  ASSERT_TRUE(receives(shared, "Q b"));
  world.on_call = [&](service::ServerRequest& request) {
    if (&request != calling[0]) return;
    database.abandon_call(*calling[1]);
    database.call(*calling[1], "again", 250 * kMs);
  };
  shared.reset();
  TestSocket next = accept_connection(listener);
  EXPECT_TRUE(receives(next, "again"));
  EXPECT_EQ(calling[0]->lost_call_count, 1);
  EXPECT_EQ(calling[1]->lost_call_count, 0);
}

// ---- Membership

struct MembershipClientTest : NetTest {
  MembershipClientTest() : service(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) { bind_again(0); }
  ~MembershipClientTest() override { ::close(service); }
  void bind_again(int at) {
    sockaddr_in address = at_port(at);
    socklen_t size = sizeof address;
    EXPECT_EQ(::bind(service, reinterpret_cast<sockaddr*>(&address), size), 0);
    ::getsockname(service, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  bool reported(const std::string& line) {
    return eventually([&] {
      char bytes[64];
      ssize_t got = ::recv(service, bytes, sizeof bytes, 0);
      return got > 0 && std::string(bytes, static_cast<std::size_t>(got)) == line;
    });
  }
  int service;
  int port = 0;
};

TEST_F(MembershipClientTest, ASocketThatCouldNotBeMadeAtTheStartIsMadeLater) {
  std::optional<NoFreeDescriptors> none(std::in_place);
  MembershipClient membership(loop, "n1", at_port(port));
  membership.report(true);
  none.reset();
  EXPECT_TRUE(reported("HB n1 UP"));
}

// Each datagram to where nobody listens comes back as an error of the next send.
TEST_F(MembershipClientTest, AServiceThatIsDownAndComesBackHearsOfUs) {
  int where = port;
  ::close(service);
  MembershipClient membership(loop, "n1", at_port(where));
  membership.report(true);
  run_loop_for(250 * kMs);
  service = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  bind_again(where);
  EXPECT_TRUE(reported("HB n1 UP"));
}

// ---- The whole program

// It is held at its start by a file that does not come to its end; the notice came before it was heeded, and
// killed it.
TEST_F(ProgramTest, ANoticeAtTheStartIsHeeded) {
  std::string held = config + ".held";
  ASSERT_EQ(mkfifo(held.c_str(), 0600), 0);
  setenv("MYRTLECROFT_SETTINGS", held.c_str(), 1);
  start();
  unsetenv("MYRTLECROFT_SETTINGS");
  int writer = -1;  // opens once the other end does: it is at that point then
  ASSERT_TRUE(
      eventually([&] { return writer >= 0 || (writer = open(held.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
  kill(process, SIGTERM);
  kill(process, SIGHUP);
  const std::string settings = "version = 1;\n";
  std::ofstream(held + ".whole") << settings;  // for the reload
  EXPECT_EQ(std::rename((held + ".whole").c_str(), held.c_str()), 0);
  EXPECT_EQ(::write(writer, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
  ::close(writer);
  EXPECT_EQ(exit_code(), 0);
  std::remove(held.c_str());
}

TEST_F(ProgramTest, NoticesAndReloadsDuringADrainLoseNothing) {
  start();
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  peer.write(FastCgiServerTest::request(1, "/api/v2/read", "00000000000000aa"));
  EXPECT_TRUE(receives(engine, "RUN"));
  kill(process, SIGTERM);
  bool out = false;
  EXPECT_TRUE(eventually([&] { return out = out || reported("HB n7 OUT"); }));
  kill(process, SIGTERM);
  kill(process, SIGINT);
  TestSocket elsewhere;
  write_config(elsewhere.listen(), 9);
  kill(process, SIGHUP);
  TestSocket again = accept_connection(elsewhere);
  ASSERT_FALSE(HasFailure());
  EXPECT_TRUE(receives(again, "ATTACH"));
  again.write(kHello + done_line(1, "00000000000000aa"));
  EXPECT_TRUE(receives(peer, "\r\n\r\nABC"));
  EXPECT_TRUE(receives(peer, "(end)"));
  peer.close();
  EXPECT_EQ(exit_code(), 0);
}

// Clients that rest fill the descriptors before the engine is up, and the membership service is down. The
// engine, checks and requests get through all the same, and nothing that is accepted starves.
TEST_F(ProgramTest, RestingClientsKeepNobodyOut) {
  write_config(listener_port, free_port(), 64);
  start();
  std::vector<TestSocket> resting(120);
  ASSERT_TRUE(eventually([&] {
    TestSocket probe;
    probe.connect(port);
    usleep(1'000);
    return probe.send_available("x") > 0;
  }));
  for (TestSocket& each : resting) each.connect(port);
  usleep(50'000);
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  peer.write(FastCgiServerTest::request(1, "/-/healthy", ""));
  EXPECT_TRUE(receives(peer, "Status: 200"));
  for (TestSocket& each : resting)
    each.try_write(FastCgiServerTest::request(1, "/-/healthy", "").substr(0, 10));
  peer.write(FastCgiServerTest::request(2, "/api/v2/read", "00000000000000aa"));
  EXPECT_TRUE(receives(engine, "RUN"));
  engine.write(done_line(1, "00000000000000aa"));
  EXPECT_TRUE(receives(peer, "\r\n\r\nABC"));
  TestSocket next = connect_client();
  next.write(FastCgiServerTest::request(1, "/-/healthy", ""));
  EXPECT_TRUE(receives(next, "Status: 200"));
  kill(process, SIGTERM);
  next.close(), peer.close(), resting.clear();
  EXPECT_EQ(exit_code(), 0);
}

// An engine that never answers, a caller that never closes: all is answered, and it ends before it is killed.
TEST_F(ProgramTest, AtTheLastMomentEverythingHasItsAnswer) {
  start();
  TestSocket engine = engine_up();
  ASSERT_FALSE(HasFailure());
  TestSocket peer = connect_client();
  for (int i = 1; i <= 5; ++i)
    peer.write(FastCgiServerTest::request(i, "/api/v2/read", "00000000000000a" + std::to_string(i)));
  EXPECT_TRUE(receives(engine, "a2\""));
  kill(process, SIGTERM);
  std::string all;
  EXPECT_TRUE(eventually([&] { return (all += peer.read()).ends_with("(end)"); }));
  EXPECT_EQ(count_occurrences(all, "Status: "), 5);
  EXPECT_EQ(exit_code(), 0);
}

}  // namespace
}  // namespace myrtlecroft::net
