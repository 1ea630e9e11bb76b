// Which streams are served at which moment, where several instances decide as one.
#include <gtest/gtest.h>

#include "../standin/ads_client.h"
#include "xds/session_table.h"
#include "xds/wire.h"

namespace myrtlecroft::xds {
namespace {

std::shared_ptr<const ResourceSet> set_of(int owner) {
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
    table.publish(whole);
    table.gate({.served = {"p1"}, .fresh_until = kSecond, .closed = nullptr}, 0);
  }
  void come(const std::string& id, Nanos now) {
    standin::AdsClient client(false, id, "a");
    stream = table.open(ProtocolVariant::kStateOfTheWorld, "peer");
    for (const std::string& bytes : client.open_stream()) {
      ParsedRequest read;
      ASSERT_TRUE(read_request(ProtocolVariant::kStateOfTheWorld, bytes.data(), bytes.size(), read));
      ASSERT_EQ(table.request(stream, read.node, read.zone, *read.request, now), StreamError::kNone);
    }
  }
  bool served() { return table.next(stream).has_value(); }

  std::shared_ptr<const ResourceSet> whole = set_of(0);
  std::shared_ptr<const ResourceSet> closed = set_of(routing::kClosed);
  SessionTable table{[](const std::string&) {}};
  StreamId stream = 0;
};

TEST(Gate, AStreamThatCameWhileNothingWasFreshIsServedOnceTheGateIsFreshAgain) {
  GatedStream gated;
  gated.come("p1", 2 * kSecond);
  EXPECT_FALSE(gated.served());
  EXPECT_FALSE(gated.table.extend_gate(kSecond, nullptr, 2 * kSecond)) << "nothing to offer yet";
  EXPECT_TRUE(gated.table.extend_gate(3 * kSecond, nullptr, 2 * kSecond));
  EXPECT_TRUE(gated.served());
  EXPECT_FALSE(gated.table.extend_gate(3 * kSecond, nullptr, 2 * kSecond)) << "it has all there is";
}

TEST(Gate, AStreamThatHasTheClosedSetGetsTheWholeOneOnceTheGateIsFreshAgain) {
  GatedStream gated;
  gated.come("p1", 2 * kSecond);
  EXPECT_TRUE(gated.table.extend_gate(0, gated.closed, 2 * kSecond));
  EXPECT_FALSE(gated.table.extend_gate(0, gated.closed, 2 * kSecond));
  EXPECT_TRUE(gated.table.extend_gate(3 * kSecond, gated.closed, 2 * kSecond));
}

TEST(Gate, AStreamOfAProxyThatIsNotServedGetsNothing) {
  GatedStream gated;
  gated.come("p2", 0);
  EXPECT_FALSE(gated.table.extend_gate(3 * kSecond, gated.closed, kSecond));
  EXPECT_FALSE(gated.served());
}

}  // namespace
}  // namespace myrtlecroft::xds
