// Operators' questions to a control service of a large fleet: each answer comes whole and soon.
#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "../standin/child.h"
#include "control/admin_client.h"
#include "control/admin_query.h"
#include "control/pager.h"
#include "control/publication_pacer.h"
#include "control/reporter_links.h"
#include "control_harness.h"

namespace myrtlecroft::control {
namespace {

constexpr int kServers = 6100;
constexpr int kGroups = 20;  // each new publication lists every server once for each group: with 200, that
                             // alone holds an answer up for seconds
constexpr double kMaxSeconds = 1;

// Every third server is in zone c, the others in zone a.
std::string large_fleet(int servers) {
  std::string nodes;
  for (int i = 1; i <= servers; ++i) {
    nodes += std::string(i > 1 ? ",\n" : "") + "{ name = \"server-" + std::to_string(i) + "\"; zone = \"" +
             (i % 3 == 0 ? "c" : "a") + "\"; address = \"10.0." + std::to_string(i / 200) + "." +
             std::to_string(i % 200 + 1) + ":4100\"; }";
  }
  std::string request_classes =
      "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; }";
  for (int i = 2; i <= kGroups; ++i) {
    request_classes +=
        ",\n{ name = \"group-" + std::to_string(i) + "\"; repeats = \"repeatable\"; timeout_ms = 500; }";
  }
  return "version = 1; listener = \"fleet\"; proxies = 10; nodes = (" + nodes + "); groups = (" +
         request_classes + "); bounds = { shard_digits = 3; };\n";
}

// Each of these runs on neighbours of its own, and callers get a subset of them.
std::string services_with_servers(int services, int servers) {
  std::string out;
  for (int service = 1; service <= services; ++service) {
    out += "{ name = \"service-" + std::to_string(service) +
           "\"; repeats = \"repeatable\"; timeout_ms = 500; servers = (";
    for (int i = 0; i < servers; ++i) {
      out += std::string(i > 0 ? ", " : "") + "\"server-" + std::to_string((service * 7 + i) % kServers + 1) +
             "\"";
    }
    out += "); },\n";
  }
  return out;
}

std::string large_fleet_with_subsets(int services, int servers) {
  std::string fleet = large_fleet(kServers);
  const std::string request_classes = "groups = (";
  fleet.insert(fleet.find(request_classes) + request_classes.size(),
               services_with_servers(services, servers));
  return fleet + "subsetting = { size = 20; };\n";
}

int any_port() {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

// One instance that decides with itself, so that every question has an answer.
struct LargeControl {
  explicit LargeControl(int servers = kServers) : LargeControl(large_fleet(servers)) {}
  explicit LargeControl(const std::string& fleet) {
    std::ofstream(folder.file("fleet.conf")) << fleet;
    std::filesystem::create_directory(folder.file("log"));
    ControlOptions options{.fleet_path = folder.file("fleet.conf"),
                           .state_folder = "",
                           .first_start = true,
                           .addresses = {"127.0.0.1:0", loopback(0), loopback(0)}};
    options.agreement.id = 1;
    options.agreement.address = "127.0.0.1:" + std::to_string(any_port());
    options.agreement.folder = folder.file("log");
    options.agreement.bootstrap = parse_instances("1=" + options.agreement.address);
    control = std::make_unique<RunningControl>(options);
    published = await([&] { return AdminClient(admin()).call("instances").published() > 0; });
  }
  sockaddr_in admin() const { return loopback(control->admin_port()); }
  AdminAnswer answer(const std::string& question) const {
    auto begin = std::chrono::steady_clock::now();
    AdminAnswer out = AdminClient(admin()).call(question);
    std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    EXPECT_LT(took.count(), kMaxSeconds) << question;
    return out;
  }

  Folder folder;
  std::unique_ptr<RunningControl> control;
  bool published = false;
};

TEST(LargeFleet, EveryQuestionIsAnsweredWholeAndSoon) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  for (const char* question : {"nodes", "proxies", "snapshot", "instances", "outings", "release status"})
    EXPECT_EQ(large.answer(question).error(), "") << question;
  EXPECT_EQ(large.answer("nodes").rows(), static_cast<unsigned>(kServers));
  EXPECT_EQ(large.answer("instances").instances_size(), 1);
}

TEST(LargeFleet, ThePagesHaveEveryServerAndEveryGroupOnce) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  std::set<std::string> nodes;
  std::uint32_t pages = large.answer("nodes").pages();
  ASSERT_GT(pages, 1u);
  for (std::uint32_t page = 1; page <= pages; ++page) {
    AdminAnswer answer = large.answer("nodes page=" + std::to_string(page));
    EXPECT_EQ(answer.first_row(), nodes.size() + 1);
    for (const ServerRow& row : answer.nodes()) EXPECT_TRUE(nodes.insert(row.name()).second) << row.name();
    EXPECT_EQ(answer.rows_left_out(), static_cast<unsigned>(kServers - answer.nodes_size()));
  }
  EXPECT_EQ(nodes.size(), static_cast<std::size_t>(kServers));
  std::set<std::string> routes;
  pages = large.answer("snapshot").pages();
  for (std::uint32_t page = 1; page <= pages; ++page) {
    AdminAnswer answer = large.answer("snapshot page=" + std::to_string(page));
    for (const routing_state::NodeRoute& node : answer.snapshot().nodes())
      EXPECT_TRUE(routes.insert(node.name()).second);
    for (const routing_state::RequestClassRoute& request_class : answer.snapshot().groups())
      EXPECT_TRUE(routes.insert(request_class.name()).second);
    EXPECT_EQ(answer.snapshot().shards_size(), 4096);
  }
  EXPECT_EQ(routes.size(), static_cast<std::size_t>(kServers + kGroups));
}

// The lists of servers alone were longer than an answer may be: it was refused, whichever page was asked for.
TEST(LargeFleet, ASnapshotIsAnsweredWhereServicesNameTheirServers) {
  constexpr int kServices = 800;
  LargeControl large(large_fleet_with_subsets(kServices, 200));
  ASSERT_TRUE(large.published);
  AdminAnswer first = large.answer("snapshot");
  EXPECT_EQ(first.error(), "");
  EXPECT_EQ(first.rows(), static_cast<unsigned>(kServers + kServices + kGroups));
  AdminAnswer one = large.answer("snapshot name=service-799");
  ASSERT_EQ(one.snapshot().groups_size(), 1);
  EXPECT_EQ(one.snapshot().groups(0).subset_size(), 20u);
}

TEST(LargeFleet, AFilterLeavesTheRowsItNames) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  EXPECT_EQ(large.answer("nodes zone=c").rows(), static_cast<unsigned>(kServers / 3));
  AdminAnswer one = large.answer("nodes zone=a name=server-6100 state=presumed");
  ASSERT_EQ(one.nodes_size(), 1);
  EXPECT_EQ(one.nodes(0).name(), "server-6100");
  EXPECT_EQ(one.rows_left_out(), 0u);
  AdminAnswer route = large.answer("snapshot state=healthy name=server-6100");
  EXPECT_EQ(route.snapshot().nodes_size(), 1);
  EXPECT_EQ(route.snapshot().groups_size(), 0);
}

TEST(LargeFleet, AFilterThatMatchesNothingAndAPageBeyondTheEndHaveNoRowsAndSayHowManyThereAre) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  AdminAnswer none = large.answer("nodes zone=nowhere");
  EXPECT_EQ(none.error(), "");
  EXPECT_EQ(none.rows(), 0u);
  EXPECT_EQ(none.nodes_size(), 0);
  AdminAnswer beyond = large.answer("nodes page=900");
  EXPECT_EQ(beyond.error(), "");
  EXPECT_EQ(beyond.nodes_size(), 0);
  EXPECT_EQ(beyond.first_row(), 0u);
  EXPECT_EQ(beyond.rows_left_out(), static_cast<unsigned>(kServers));
}

TEST(SmallFleet, ABadFilterIsRefusedWithAPlainLine) {
  LargeControl small(3);
  EXPECT_EQ(small.answer("nodes state=asleep").error(),
            "state 'asleep' is none of presumed, ramping, serving, leaving, sick, mute, silent");
  EXPECT_EQ(small.answer("snapshot state=serving").error(),
            "state 'serving' is none of healthy, draining, out");
  EXPECT_EQ(small.answer("nodes colour=red").error(),
            "nodes takes no 'colour'; there are zone, state, name, page");
  EXPECT_EQ(small.answer("nodes zone=").error(), "zone has no value");
  for (const char* page : {"0", "-1", "two", "1x", "99999999999999999999"}) {
    EXPECT_EQ(small.answer(std::string("nodes page=") + page).error(),
              std::string("page '") + page + "' is no number from 1");
  }
  EXPECT_EQ(small.answer("instances page=1").error(), "instances takes no 'page'");
  EXPECT_NE(small.answer("nodesque").error().find("unknown question"), std::string::npos);
}

TEST(SmallFleet, WithoutOptionsAllRowsAreThere) {
  LargeControl small(3);
  AdminAnswer answer = small.answer("nodes");
  EXPECT_EQ(answer.nodes_size(), 3);
  EXPECT_EQ(answer.pages(), 1u);
  EXPECT_EQ(answer.rows_left_out(), 0u);
}

TEST(ControlProgram, ShowsThePageThatIsAskedForAndSaysHowToSeeTheOthers) {
  LargeControl large;
  ASSERT_TRUE(large.published);
  auto shown = [&](std::vector<std::string> words) {
    words.insert(words.begin(), MYRTLECROFT_CONTROL);
    words.insert(words.end(), {"--admin", "127.0.0.1:" + std::to_string(large.control->admin_port())});
    std::string log = large.folder.file("shown");
    std::filesystem::remove(log);
    EXPECT_EQ(standin::Child(words, log).wait(), 0);
    std::ifstream in(log);
    return std::string((std::istreambuf_iterator<char>(in)), {});
  };
  std::string first = shown({"nodes"});
  EXPECT_NE(first.find("rows 1 to "), std::string::npos) << first.substr(0, 300);
  EXPECT_NE(first.find("of 6100 rows, page 1 of "), std::string::npos);
  EXPECT_EQ(first.find("server-6100 "), std::string::npos);
  std::string one = shown({"nodes", "--zone", "a", "--name", "server-6100"});
  EXPECT_NE(one.find("server-6100 "), std::string::npos);
  EXPECT_EQ(one.find("page"), std::string::npos) << "nothing is left out";
  EXPECT_NE(shown({"nodes", "--page", "900"}).find("no row here: there are 6100 rows"), std::string::npos);
}

TEST(Pager, ARowThatIsLongerThanAPageStandsAloneOnOne) {
  Pager pager(2);
  EXPECT_FALSE(pager.next(10));
  EXPECT_TRUE(pager.next(Pager::kMaxBytes + 1));
  EXPECT_FALSE(pager.next(10));
  EXPECT_EQ(pager.pages(), 3u);
  EXPECT_EQ(pager.first(), 2u);
}

TEST(PublicationPacer, TheNextPublicationWaitsTwiceAsLongAsTheLastOneTook) {
  PublicationPacer pacer;
  EXPECT_TRUE(pacer.may_publish(0));
  pacer.published(400 * kMs, kSecond);
  EXPECT_FALSE(pacer.may_publish(kSecond + 799 * kMs));
  EXPECT_TRUE(pacer.may_publish(kSecond + 800 * kMs));
  pacer.published(0, 2 * kSecond);
  EXPECT_TRUE(pacer.may_publish(2 * kSecond));
}

TEST(ReporterLinks, ANodeIsWithoutALinkOnlyWhenItsLastConnectionHasEnded) {
  ReporterLinks links;
  EXPECT_TRUE(links.names(1, "n1"));
  EXPECT_FALSE(links.names(1, "n1"));
  EXPECT_TRUE(links.names(2, "n1"));
  EXPECT_TRUE(links.names(3, "n2"));
  EXPECT_EQ(links.ended(1), std::nullopt);
  EXPECT_EQ(links.ended(2), "n1");
  EXPECT_EQ(links.ended(2), std::nullopt);
  EXPECT_TRUE(links.names(3, "n1")) << "the connection is another node's now";
  EXPECT_EQ(links.ended(3), "n1");
}

}  // namespace
}  // namespace myrtlecroft::control
