// One table of sessions and stand-in proxies, with queues in between that a test moves.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../standin/ads_client.h"
#include "xds/session_table.h"
#include "xds/subset_resources.h"
#include "xds/wire.h"

namespace myrtlecroft::xds {

inline routing::Snapshot picture(int nodes = 3, int first = 1) {
  routing::Snapshot out;
  out.listener = "fleet";
  out.shard_digits = 1;
  out.closed_retry_after = 5 * kSecond;
  for (int i = first; i < first + nodes; ++i) {
    out.nodes.push_back({.name = "n" + std::to_string(i),
                         .zone = "a",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(4100 + i),
                         .health = routing::Health::kHealthy,
                         .weight = 100,
                         .in_flight = 10});
  }
  out.request_classes = {
      {.name = "read", .path = "/read", .timeout = kSecond},
      {.name = "write",
       .path = "/write",
       .idempotency = Idempotency::kKeyed,
       .key_header = "Replay-Key",
       .timeout = kSecond},
      {.name = "set", .path = "/set", .idempotency = Idempotency::kNone, .timeout = kSecond}};
  for (int i = 0; i < 16; ++i) out.shards.push_back(i % nodes);
  return out;
}

// One control service and its proxies, with queues in between that the story moves.
struct Wires {
  struct Link {
    // `services`: listeners that it asks for by name; none: all there are.
    Link(bool delta, std::string id, std::vector<std::string> services = {})
        : client(delta, id, "a", nullptr, std::move(services)),
          variant(delta ? ProtocolVariant::kDelta : ProtocolVariant::kStateOfTheWorld) {}
    standin::AdsClient client;
    ProtocolVariant variant;
    StreamId stream = 0;
    std::deque<std::string> up;
    std::deque<std::string> down;
  };

  std::shared_ptr<const ResourceSet> publish(const routing::Snapshot& snapshot) {
    set = build_resource_set({++number, snapshot}, set.get());
    EXPECT_EQ(find_inconsistency(*set), "");
    table.publish(set);
    return set;
  }
  void connect(Link& link) {
    link.stream = table.open(link.variant, "peer");
    link.up.clear();
    link.down.clear();
    for (std::string& bytes : link.client.open_stream()) link.up.push_back(std::move(bytes));
  }
  void cut(Link& link) {
    table.close(link.stream, now);
    link.stream = 0;
    link.up.clear();
    link.down.clear();
  }
  bool move_up(Link& link) {
    if (link.up.empty()) return false;
    ParsedRequest read;
    EXPECT_TRUE(read_request(link.variant, link.up.front().data(), link.up.front().size(), read));
    link.up.pop_front();
    EXPECT_EQ(table.request(link.stream, read.node, read.zone, *read.request, now), StreamError::kNone);
    return true;
  }
  bool write(Link& link) {
    if (link.stream == 0) return false;
    auto response = table.next(link.stream);
    if (!response) return false;
    std::string bytes = encode_response_header(*response, link.variant);
    for (const ResourcePtr& resource : response->resources)
      bytes += encoded_resource(*resource, link.variant);
    link.down.push_back(std::move(bytes));
    ++answers;
    return true;
  }
  bool move_down(Link& link) {
    if (link.down.empty()) return false;
    for (std::string& bytes : link.client.handle_response(link.down.front()))
      link.up.push_back(std::move(bytes));
    link.down.pop_front();
    return true;
  }
  void settle(Link& link) {
    for (int i = 0; i < 10'000; ++i) {
      now += kMs;
      bool moved = move_up(link);
      moved = write(link) || moved;
      moved = move_down(link) || moved;
      if (!moved) return;
    }
    FAIL() << "it never settles";
  }

  SessionTable table{[this](const std::string& line) { lines.push_back(line); }};
  std::vector<std::string> lines;
  std::shared_ptr<const ResourceSet> set;
  std::uint64_t number = 0;
  Nanos now = kSecond;
  int answers = 0;
};

inline fleet::ServerList placed_on(fleet::ServerList::ServerIndices places) {
  return {std::make_shared<const fleet::ServerList::ServerIndices>(std::move(places))};
}

// "read" and "set" have subsets of ten of all servers, "near" runs on six, "write" has owners.
inline routing::Snapshot subsetted(int nodes = 60) {
  routing::Snapshot out = picture(nodes);
  for (std::size_t i = 0; i < out.nodes.size(); ++i) out.nodes[i].zone = i % 2 ? "a" : "b";
  out.service_listeners = true;
  out.request_classes[0].subset_size = 10;
  out.request_classes[2].subset_size = 10;
  out.request_classes.push_back(
      {.name = "near", .path = "/near", .timeout = kSecond, .servers = placed_on({0, 1, 2, 3, 4, 5})});
  return out;
}

inline const SubsetResources& subsets_of(const ResourceSet& set, const std::string& cluster) {
  return *set.of(ResourceType::kEndpoints).at(cluster)->subsets;
}

inline std::set<std::string> servers_of(const Wires::Link& link, const std::string& cluster) {
  std::set<std::string> out;
  for (const auto& place : link.client.applied()->endpoints.at(cluster)->endpoints()) {
    out.insert(place.locality().sub_zone());
  }
  return out;
}

}  // namespace myrtlecroft::xds
