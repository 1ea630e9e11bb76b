// Tests a control service on loopback: failing disk, reload, malformed input, many proxies.
#include "control/control.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>

#include "control/admin_client.h"
#include "control_site.h"

namespace myrtlecroft::control {
namespace {

// While it exists, no file of this process can grow, as on a full disk.
struct FullDisk {
  FullDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &previous_limit);
    rlimit no_growth{.rlim_cur = 0, .rlim_max = previous_limit.rlim_max};
    setrlimit(RLIMIT_FSIZE, &no_growth);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &previous_limit); }
  rlimit previous_limit{};
};

TEST(ControlTest, LastPublicationStaysServedAndTheFailureIsLoggedWhileTheDiskFails) {
  ControlSite site;
  RunningControl control(site.options());
  Reporters reporters(control.reports_port());
  for (int i = 1; i <= 3; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  AdsLink link(target(control.discovery_port()), true, "p1");
  ASSERT_TRUE(await([&] { return has_servers(link, 3) && control.state_of("n3") == "serving"; }));
  auto full = std::make_unique<FullDisk>();
  reporters.set("n3", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return control.log().has("is served until a write succeeds"); }));
  EXPECT_TRUE(has_servers(link, 3));
  EXPECT_TRUE(AdminClient(loopback(control.admin_port())).call("nodes").disk_fails());
  full.reset();
  ASSERT_TRUE(await([&] { return has_servers(link, 2); }));
  EXPECT_TRUE(control.log().has("writes succeed again"));
}

TEST(ControlTest, ReloadOfAnInvalidFileChangesNothing) {
  ControlSite site;
  RunningControl control(site.options());
  AdsLink link(target(control.discovery_port()), false, "p1");
  ASSERT_TRUE(await([&] { return has_servers(link, 3); }));
  site.write("version = 1; nodes = ( { name = \"n1\" } );");
  control.run_in_loop([](ControlService& service) { return service.reload(), 0; });
  EXPECT_TRUE(control.log().has("the previous fleet file stays in use"));
  EXPECT_TRUE(control.log().has("nodes[0].address: is missing"));
  EXPECT_TRUE(has_servers(link, 3));
  site.write(fleet_text(2));
  control.run_in_loop([](ControlService& service) { return service.reload(), 0; });
  EXPECT_TRUE(await([&] { return has_servers(link, 2); }));
  EXPECT_EQ(link.half_applied(), 0);
}

TEST(ControlTest, MalformedReportClosesOnlyItsOwnConnection) {
  ControlSite site;
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
    EXPECT_LE(::recv(socket, &byte, 1, 0), 0) << "the connection is closed";
    ::close(socket);
  }
  EXPECT_TRUE(control.log().has("frame too large"));
  EXPECT_TRUE(control.log().has("version unknown"));
  reporters.add("stranger", "127.0.0.1:1");
  EXPECT_TRUE(await([&] { return control.log().has("the fleet file has no such server"); }));
  reporters.set("n2", [](auto& report) { report.address = "127.0.0.1:9"; });
  EXPECT_TRUE(await([&] { return control.log().has("its address differs from the fleet file's"); }));
  EXPECT_TRUE(await([&] { return control.state_of("n2") == "silent"; }));
  EXPECT_EQ(control.state_of("n1"), "serving");
}

TEST(ControlTest, MalformedDiscoveryRequestClosesOnlyItsOwnStreamWithAStatus) {
  ControlSite site;
  RunningControl control(site.options());
  AdsLink well_behaved(target(control.discovery_port()), false, "good");
  ASSERT_TRUE(await([&] { return has_servers(well_behaved, 3); }));
  auto channel = grpc::CreateChannel(target(control.discovery_port()), grpc::InsecureChannelCredentials());
  grpc::GenericStub stub(channel);
  struct SingleRequestStream final : grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> {
    void OnDone(const grpc::Status& status) override { final_status.set_value(status); }
    std::promise<grpc::Status> final_status;
    grpc::ByteBuffer in;
  };
  for (const std::string& bytes : {std::string("\xff\xff\xff"), std::string()}) {
    grpc::ClientContext context;
    SingleRequestStream stream;
    stub.PrepareBidiStreamingCall(
        &context, "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources", {},
        &stream);
    // An otherwise valid request without a node id.
    envoy::service::discovery::v3::DiscoveryRequest without_node_id;
    without_node_id.set_type_url(xds::type_url_of(xds::ResourceType::kClusters));
    std::string body = bytes.empty() ? without_node_id.SerializeAsString() : bytes;
    grpc::Slice slice(body);
    grpc::ByteBuffer out(&slice, 1);
    stream.StartRead(&stream.in);
    stream.StartWrite(&out);
    stream.StartCall();
    auto status = stream.final_status.get_future();
    ASSERT_EQ(status.wait_for(std::chrono::seconds(10)), std::future_status::ready);
    EXPECT_EQ(status.get().error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  }
  EXPECT_TRUE(well_behaved.connected());
  EXPECT_TRUE(control.log().has("malformed request"));
}

TEST(ControlTest, ProxiesAreServedWhileOneReadsNothingAndOneRejectsAllResources) {
  ControlSite site(20);
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
  links[0]->nack_matching("");
  links[1]->stop_reading();
  auto others_have_servers = [&](int count) {
    return std::all_of(links.begin() + 2, links.end(),
                       [&](const auto& link) { return has_servers(*link, count); });
  };
  ASSERT_TRUE(await([&] { return others_have_servers(20); }));
  reporters.set("n7", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return others_have_servers(19); }));
  for (auto& link : links) link->reset_stream();  // all proxies reconnect at once
  reporters.set("n8", [](auto& report) { report.draining = true; });
  ASSERT_TRUE(await([&] { return others_have_servers(18); }));
  for (auto& link : links) EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
  EXPECT_TRUE(await([&] {
    AdminAnswer answer = AdminClient(loopback(control.admin_port())).call("proxies");
    bool nack_is_listed = false;
    for (const ProxyRow& row : answer.proxies()) nack_is_listed = nack_is_listed || row.refused_size() > 0;
    return answer.proxies_size() >= 100 && nack_is_listed;
  }));
}

}  // namespace
}  // namespace myrtlecroft::control
