// Tests when a gated stream is served and with which resource set. The gate limits what is served while
// several replicas share the control service.
#include <gtest/gtest.h>

#include "../standin/ads_client.h"
#include "xds/session_table.h"
#include "xds/wire.h"

namespace myrtlecroft::xds {
namespace {

std::shared_ptr<const ResourceSet> set_with_owner(int owner) {
  routing::PublishedSnapshot out{.number = 1, .snapshot = {}};
  routing::Snapshot& snapshot = out.snapshot;
  snapshot.listener = "fleet";
  snapshot.shard_digits = 1;
  snapshot.nodes = {{.name = "n1",
                     .zone = "a",
                     .host = "127.0.0.1",
                     .port = 4101,
                     .health = routing::Health::kHealthy,
                     .weight = 100}};
  snapshot.request_classes = {{.name = "read", .path = "/read", .timeout = kSecond}};
  snapshot.shards.assign(16, owner);
  return build_resource_set(out, nullptr);
}

struct GatedStream {
  GatedStream() {
    table.publish(complete);
    table.gate({.served = {"p1"}, .fresh_until = kSecond, .closed = nullptr}, 0);
  }
  void open_stream(const std::string& id, Nanos now) {
    standin::AdsClient client(false, id, "a");
    stream = table.open(ProtocolVariant::kStateOfTheWorld, "peer");
    for (const std::string& bytes : client.open_stream()) {
      ParsedRequest read;
      ASSERT_TRUE(read_request(ProtocolVariant::kStateOfTheWorld, bytes.data(), bytes.size(), read));
      ASSERT_EQ(table.request(stream, read.node, read.zone, *read.request, now), StreamError::kNone);
    }
  }
  bool receives_response() { return table.next(stream).has_value(); }

  std::shared_ptr<const ResourceSet> complete = set_with_owner(0);
  std::shared_ptr<const ResourceSet> closed = set_with_owner(routing::kClosed);
  SessionTable table{[](const std::string&) {}};
  StreamId stream = 0;
};

TEST(SessionGate, StreamOpenedAfterTheGateExpiredIsServedOnceItIsExtended) {
  GatedStream gated;
  gated.open_stream("p1", 2 * kSecond);
  EXPECT_FALSE(gated.receives_response());
  EXPECT_FALSE(gated.table.extend_gate(kSecond, nullptr, 2 * kSecond)) << "the gate is still expired";
  EXPECT_TRUE(gated.table.extend_gate(3 * kSecond, nullptr, 2 * kSecond));
  EXPECT_TRUE(gated.receives_response());
  EXPECT_FALSE(gated.table.extend_gate(3 * kSecond, nullptr, 2 * kSecond))
      << "the stream already has the complete set";
}

TEST(SessionGate, StreamWithTheClosedSetGetsTheCompleteSetOnceTheGateIsExtended) {
  GatedStream gated;
  gated.open_stream("p1", 2 * kSecond);
  EXPECT_TRUE(gated.table.extend_gate(0, gated.closed, 2 * kSecond));
  EXPECT_FALSE(gated.table.extend_gate(0, gated.closed, 2 * kSecond));
  EXPECT_TRUE(gated.table.extend_gate(3 * kSecond, gated.closed, 2 * kSecond));
}

TEST(SessionGate, StreamOfAnUnservedProxyGetsNothing) {
  GatedStream gated;
  gated.open_stream("p2", 0);
  EXPECT_FALSE(gated.table.extend_gate(3 * kSecond, gated.closed, kSecond));
  EXPECT_FALSE(gated.receives_response());
}

}  // namespace
}  // namespace myrtlecroft::xds
