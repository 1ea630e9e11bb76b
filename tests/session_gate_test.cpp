// Tests of the session table's gate: which proxies are served when several replicas share the control
// service.
#include <gtest/gtest.h>

#include "xds/session_table.h"

namespace myrtlecroft {
namespace {

// Uses resource sets whose only content is their number.
struct SessionGateTest : testing::Test {
  static std::shared_ptr<const xds::ResourceSet> set_with_number(std::uint64_t number) {
    auto out = std::make_shared<xds::ResourceSet>();
    out->number = number;
    auto one = std::make_shared<xds::Resource>();
    one->name = "fleet";
    one->version = std::to_string(number);
    out->by_type[static_cast<std::size_t>(xds::ResourceType::kListeners)]["fleet"] = one;
    return out;
  }
  std::string version_received(const std::string& id, Nanos now) {
    xds::StreamId stream = table.open(xds::ProtocolVariant::kStateOfTheWorld, "peer");
    xds::Request request;
    request.type = xds::ResourceType::kListeners;
    request.names = {"fleet"};
    table.request(stream, id, "a", request, now);
    last_stream = stream;
    auto response = table.next(stream);
    if (response) {
      request.nonce = response->nonce;
      table.request(stream, id, "a", request, now);
    }
    return response && !response->resources.empty() ? response->resources[0]->version : "nothing";
  }
  xds::SessionTable table{[](const std::string&) {}};
  xds::StreamId last_stream = 0;
};

TEST_F(SessionGateTest, ProxyOutsideTheServedSetGetsNothing) {
  table.publish(set_with_number(1));
  table.gate({.served = {"p"}, .fresh_until = 100, .closed = nullptr}, 0);
  EXPECT_EQ(version_received("q", 50), "nothing");
  EXPECT_EQ(version_received("p", 50), "1");
}

TEST_F(SessionGateTest, NewStreamGetsNoOpenShardWithoutAQuorum) {
  table.publish(set_with_number(1));
  table.gate({.served = {"p"}, .fresh_until = 100, .closed = set_with_number(9)}, 0);
  EXPECT_EQ(version_received("p", 101), "9");
}

// Guards against a failure seen in about one in five fleet starts: a proxy's first set had all shards
// closed because the replica was out of touch with the quorum at that moment, and it was not replaced until
// something else changed.
TEST_F(SessionGateTest, StreamGetsOpenShardsOnceTheQuorumReturnsWithoutAnotherChange) {
  table.publish(set_with_number(1));
  table.gate({.served = {"p"}, .fresh_until = 100, .closed = set_with_number(9)}, 0);
  EXPECT_EQ(version_received("p", 101), "9");
  table.gate({.served = {"p"}, .fresh_until = 300, .closed = set_with_number(9)}, 200);
  auto response = table.next(last_stream);
  ASSERT_TRUE(response && !response->resources.empty());
  EXPECT_EQ(response->resources[0]->version, "1");
}

}  // namespace
}  // namespace myrtlecroft
