// The control service as a whole: on loopback, killed, with a sick disk, with broken peers, with a crowd.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <stdexcept>

#include "../standin/ads_link.h"
#include "../standin/child.h"
#include "control/admin_client.h"
#include "control_harness.h"
#include "routing_fakes.h"

namespace myrtlecroft::control {
namespace {

using standin::AdsLink;
using standin::Child;

std::string fleet_text(int nodes, const std::string& bounds = "") {
  std::string listed;
  for (int i = 1; i <= nodes; ++i) {
    listed += std::string(i > 1 ? ",\n" : "") + "{ name = \"n" + std::to_string(i) + "\"; zone = \"" +
              (i % 2 ? "a" : "b") + "\"; address = \"127.0.0.1:" + std::to_string(20'000 + i) + "\"; }";
  }
  return "version = 1; listener = \"fleet\"; proxies = 10; nodes = (" + listed +
         ");\n"
         "groups = ({ name = \"read\"; repeats = \"repeatable\"; timeout_ms = 500; },\n"
         "{ name = \"set\"; repeats = \"mutating\"; timeout_ms = 500; },\n"
         "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; });\n"
         "bounds = { silent_ms = 600; dwell_ms = 300; ramp_ms = 300; settle_ms = 20; most_out = 0.6; " +
         bounds + "};\n";
}

struct Site {
  explicit Site(int nodes = 3, const std::string& bounds = "") { write(fleet_text(nodes, bounds)); }
  void write(const std::string& text) const { std::ofstream(folder.file("fleet.conf")) << text; }
  ControlOptions options() const {
    return {.fleet_path = folder.file("fleet.conf"),
            .state_folder = folder.file("state"),
            .first_start = true,
            .addresses = {"127.0.0.1:0", loopback(0), loopback(0)}};
  }
  Folder folder;
};

bool has_nodes(const AdsLink& link, int count) {
  auto applied = link.applied();
  return applied && applied->endpoints.at("group/read")->endpoints_size() == count;
}

std::string target(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// ---- The last good state

using routing_state::SavedState;
SavedState some_state() {
  routing::FleetWorld world;
  world.run(3 * kSecond);
  return {world.router.persisted_state(), {"p1", "p2"}};
}

TEST(SavedState, IsReadBackAsItWas) {
  SavedState state = some_state();
  auto back = routing_state::parse_saved_state(routing_state::serialize(state));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->routing, state.routing);
  EXPECT_EQ(back->proxies, state.proxies);
}

TEST(SavedState, AFileOfAnEarlierVersionIsNotTakenForAFolder) {
  Site site;
  std::ofstream(site.folder.file("state")) << "MYRTCTRL";
  net::Loop loop;
  QuietLog log;
  EXPECT_THROW(Control(loop, log, site.options()), std::runtime_error);
}

// No file of this process may grow while it lives.
struct FullDisk {
  FullDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &before);
    rlimit none{.rlim_cur = 0, .rlim_max = before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &before); }
  rlimit before{};
};

TEST(Control, WithASickDiskItServesOnWhatItServedAndSaysSo) {
  Site site;
  RunningControl control(site.options());
  Reporters reporters(control.reports_port());
  for (int i = 1; i <= 3; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  AdsLink link(target(control.discovery_port()), true, "p1");
  ASSERT_TRUE(await([&] { return has_nodes(link, 3) && control.state_of("n3") == "serving"; }));
  auto full = std::make_unique<FullDisk>();
  reporters.set("n3", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return control.log().has("served on until the disk is well"); }));
  EXPECT_TRUE(has_nodes(link, 3));
  EXPECT_TRUE(AdminClient(loopback(control.admin_port())).call("nodes").disk_fails());
  full.reset();
  ASSERT_TRUE(await([&] { return has_nodes(link, 2); }));
  EXPECT_TRUE(control.log().has("kept on disk again"));
}

// ---- Killed and started again

TEST(Control, KilledInTheMiddleOfPushesProxiesKeepTheLastSetAndNothingIsEmptied) {
  Site site(40);
  auto port = [](int offset) { return std::to_string(21'000 + getpid() % 3000 * 3 + offset); };
  std::vector<std::string> command = {MYRTLECROFT_CONTROL,
                                      "serve",
                                      "--fleet",
                                      site.folder.file("fleet.conf"),
                                      "--state",
                                      site.folder.file("state"),
                                      "--xds",
                                      "127.0.0.1:" + port(0),
                                      "--reports",
                                      "127.0.0.1:" + port(1),
                                      "--admin",
                                      "127.0.0.1:" + port(2)};
  std::vector<std::string> first = command;
  first.push_back("--first-start");
  Child control(first, site.folder.file("log"));
  Reporters reporters(static_cast<std::uint16_t>(std::stoi(port(1))));
  for (int i = 1; i <= 40; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  std::vector<std::unique_ptr<AdsLink>> links;
  for (int i = 0; i < 8; ++i) {
    links.push_back(std::make_unique<AdsLink>("127.0.0.1:" + port(0), i % 2 == 0, "p" + std::to_string(i)));
  }
  auto all_have = [&](int count) {
    return std::all_of(links.begin(), links.end(), [&](const auto& link) { return has_nodes(*link, count); });
  };
  ASSERT_TRUE(await([&] { return all_have(40); }));
  for (int round = 0; round < 4; ++round) {
    for (int i = 1; i <= 10; ++i) {
      reporters.set("n" + std::to_string(i), [&](auto& report) { report.draining = round % 2 == 0; });
    }
    // As soon as the first of them has it, the service is gone.
    ASSERT_TRUE(await([&] {
      return std::any_of(links.begin(), links.end(),
                         [&](const auto& link) { return has_nodes(*link, round % 2 == 0 ? 30 : 40); });
    }));
    control.end(SIGKILL);
    for (auto& link : links) {
      ASSERT_TRUE(link->applied());
      EXPECT_GE(link->applied()->endpoints.at("group/read")->endpoints_size(), 30);
      EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
    }
    if (round == 3) {  // it comes back with a changed fleet file, and no server reports
      for (int i = 1; i <= 40; ++i) reporters.quiet("n" + std::to_string(i), true);
      site.write(fleet_text(38));
    }
    control = Child(command, site.folder.file("log"));
    if (round < 3) ASSERT_TRUE(await([&] { return all_have(round % 2 == 0 ? 30 : 40); }));
  }
  ASSERT_TRUE(await([&] { return all_have(38); }));
  for (auto& link : links) EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
  EXPECT_EQ(control.end(SIGTERM), 0);
}

TEST(Control, AReloadOfABadFileChangesNothing) {
  Site site;
  RunningControl control(site.options());
  AdsLink link(target(control.discovery_port()), false, "p1");
  ASSERT_TRUE(await([&] { return has_nodes(link, 3); }));
  site.write("version = 1; nodes = ( { name = \"n1\" } );");
  control.look([](Control& one) { return one.reload(), 0; });
  EXPECT_TRUE(control.log().has("stays in force"));
  EXPECT_TRUE(control.log().has("nodes[0].address: is missing"));
  EXPECT_TRUE(has_nodes(link, 3));
  site.write(fleet_text(2));
  control.look([](Control& one) { return one.reload(), 0; });
  EXPECT_TRUE(await([&] { return has_nodes(link, 2); }));
  EXPECT_EQ(link.half_applied(), 0);
}

// ---- Peers that make no sense

TEST(Control, BrokenReportsEndThatConnectionAndNoOther) {
  Site site;
  RunningControl control(site.options());
  Reporters reporters(control.reports_port());
  for (int i = 1; i <= 3; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  ASSERT_TRUE(await([&] { return control.state_of("n1") == "serving"; }));
  for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"),
                                   std::string("\0\0\0\x02\x09\x01", 6), std::string(70'000, '\xff')}) {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to = loopback(control.reports_port());
    ASSERT_EQ(::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    EXPECT_GT(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
    char byte = 0;
    EXPECT_LE(::recv(socket, &byte, 1, 0), 0) << "it is closed";
    ::close(socket);
  }
  EXPECT_TRUE(control.log().has("frame too large"));
  EXPECT_TRUE(control.log().has("version unknown"));
  reporters.add("stranger", "127.0.0.1:1");
  EXPECT_TRUE(await([&] { return control.log().has("names no such node"); }));
  reporters.set("n2", [](auto& report) { report.address = "127.0.0.1:9"; });
  EXPECT_TRUE(await([&] { return control.log().has("listens at another address"); }));
  EXPECT_TRUE(await([&] { return control.state_of("n2") == "silent"; }));
  EXPECT_EQ(control.state_of("n1"), "serving");
}

TEST(Control, ABrokenRequestEndsThatStreamWithAStatusAndNoOther) {
  Site site;
  RunningControl control(site.options());
  AdsLink good(target(control.discovery_port()), false, "good");
  ASSERT_TRUE(await([&] { return has_nodes(good, 3); }));
  auto channel = grpc::CreateChannel(target(control.discovery_port()), grpc::InsecureChannelCredentials());
  grpc::GenericStub stub(channel);
  struct Once final : grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> {
    void OnDone(const grpc::Status& status) override { over.set_value(status); }
    std::promise<grpc::Status> over;
    grpc::ByteBuffer in;
  };
  for (const std::string& bytes : {std::string("\xff\xff\xff"), std::string()}) {
    grpc::ClientContext context;
    Once once;
    stub.PrepareBidiStreamingCall(
        &context, "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources", {},
        &once);
    // Nothing in it, but of a type that is served: it names no server.
    envoy::service::discovery::v3::DiscoveryRequest nameless;
    nameless.set_type_url(xds::url_of(xds::Type::kClusters));
    std::string body = bytes.empty() ? nameless.SerializeAsString() : bytes;
    grpc::Slice slice(body);
    grpc::ByteBuffer out(&slice, 1);
    once.StartRead(&once.in);
    once.StartWrite(&out);
    once.StartCall();
    auto over = once.over.get_future();
    ASSERT_EQ(over.wait_for(std::chrono::seconds(10)), std::future_status::ready);
    EXPECT_EQ(over.get().error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  }
  EXPECT_TRUE(good.connected());
  EXPECT_TRUE(control.log().has("a request makes no sense"));
}

// ---- A crowd

TEST(Control, ManyProxiesAtOnceWithOneThatReadsNothingAndOneThatRefusesAll) {
  Site site(20);
  RunningControl control(site.options());
  Reporters reporters(control.reports_port());
  for (int i = 1; i <= 20; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  ASSERT_TRUE(await([&] { return control.state_of("n20") == "serving"; }));
  std::vector<std::unique_ptr<AdsLink>> links;
  for (int i = 0; i < 100; ++i) {
    links.push_back(
        std::make_unique<AdsLink>(target(control.discovery_port()), i % 2 == 0, "p" + std::to_string(i)));
  }
  links[0]->refuse("");
  links[1]->stop_reading();
  auto others_have = [&](int count) {
    return std::all_of(links.begin() + 2, links.end(),
                       [&](const auto& link) { return has_nodes(*link, count); });
  };
  ASSERT_TRUE(await([&] { return others_have(20); }));
  reporters.set("n7", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return others_have(19); }));
  for (auto& link : links) link->cut();  // all at once, and all come back
  reporters.set("n8", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return others_have(18); }));
  for (auto& link : links) EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
  EXPECT_TRUE(await([&] {
    AdminAnswer answer = AdminClient(loopback(control.admin_port())).call("proxies");
    bool shown = false;
    for (const ProxyRow& row : answer.proxies()) shown = shown || row.refused_size() > 0;
    return answer.proxies_size() >= 100 && shown;
  }));
}

// ---- The program

TEST(ControlProgram, SaysWhatIsWrongAndEndsWithTwo) {
  Folder folder;
  std::ofstream(folder.file("bad.conf")) << "version = 1;\nnodes = 3;\n";
  auto run = [&](std::vector<std::string> words) {
    words.insert(words.begin(), MYRTLECROFT_CONTROL);
    return Child(words, folder.file("log")).wait();
  };
  EXPECT_EQ(run({"check", folder.file("bad.conf")}), 2);
  EXPECT_EQ(run({"serve"}), 2);
  EXPECT_EQ(run({"serve", "--fleet", folder.file("bad.conf")}), 2);
  EXPECT_EQ(run({"fly"}), 2);
  EXPECT_EQ(run({"nodes", "--admin", "127.0.0.1:1"}), 1);
  EXPECT_EQ(run({"nodes", "--admin", "here"}), 1);
  std::ifstream in(folder.file("log"));
  std::string log((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(log.find("bad.conf:2: nodes: is not a list in parentheses"), std::string::npos) << log;
}

}  // namespace
}  // namespace myrtlecroft::control
