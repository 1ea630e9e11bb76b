// Test harness: a session table and stand-in proxies, with message queues in between that a test advances.
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

// A fleet of `nodes` servers named from "n<first>", with an idempotent, a keyed and a mutating request
// class.
inline routing::Snapshot sample_snapshot(int nodes = 3, int first = 1) {
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

// One control service. A test moves each message between it and a proxy by a deliver_ or write_ call.
struct DiscoveryHarness {
  struct Proxy {
    // `services`: listeners to subscribe to by name; empty: all listeners.
    Proxy(bool delta, std::string id, std::vector<std::string> services = {})
        : client(delta, id, "a", nullptr, std::move(services)),
          variant(delta ? ProtocolVariant::kDelta : ProtocolVariant::kStateOfTheWorld) {}
    standin::AdsClient client;
    ProtocolVariant variant;
    StreamId stream = 0;
    std::deque<std::string> requests;
    std::deque<std::string> responses;
  };

  std::shared_ptr<const ResourceSet> publish(const routing::Snapshot& snapshot) {
    set = build_resource_set({++number, snapshot}, set.get());
    EXPECT_EQ(find_inconsistency(*set), "");
    table.publish(set);
    return set;
  }
  void connect(Proxy& proxy) {
    proxy.stream = table.open(proxy.variant, "peer");
    proxy.requests.clear();
    proxy.responses.clear();
    for (std::string& bytes : proxy.client.open_stream()) proxy.requests.push_back(std::move(bytes));
  }
  void disconnect(Proxy& proxy) {
    table.close(proxy.stream, now);
    proxy.stream = 0;
    proxy.requests.clear();
    proxy.responses.clear();
  }
  bool deliver_request(Proxy& proxy) {
    if (proxy.requests.empty()) return false;
    ParsedRequest read;
    EXPECT_TRUE(
        read_request(proxy.variant, proxy.requests.front().data(), proxy.requests.front().size(), read));
    proxy.requests.pop_front();
    EXPECT_EQ(table.request(proxy.stream, read.node, read.zone, *read.request, now), StreamError::kNone);
    return true;
  }
  bool write_response(Proxy& proxy) {
    if (proxy.stream == 0) return false;
    auto response = table.next(proxy.stream);
    if (!response) return false;
    std::string bytes = encode_response_header(*response, proxy.variant);
    for (const ResourcePtr& resource : response->resources)
      bytes += encoded_resource(*resource, proxy.variant);
    proxy.responses.push_back(std::move(bytes));
    ++responses_sent;
    return true;
  }
  bool deliver_response(Proxy& proxy) {
    if (proxy.responses.empty()) return false;
    for (std::string& bytes : proxy.client.handle_response(proxy.responses.front()))
      proxy.requests.push_back(std::move(bytes));
    proxy.responses.pop_front();
    return true;
  }
  // Moves messages in both directions until none is left. Advances the clock by 1 ms per round.
  void run_until_idle(Proxy& proxy) {
    for (int i = 0; i < 10'000; ++i) {
      now += kMs;
      bool moved = deliver_request(proxy);
      moved = write_response(proxy) || moved;
      moved = deliver_response(proxy) || moved;
      if (!moved) return;
    }
    FAIL() << "messages are still being exchanged after 10000 rounds";
  }

  SessionTable table{[this](const std::string& line) { log_lines.push_back(line); }};
  std::vector<std::string> log_lines;
  std::shared_ptr<const ResourceSet> set;
  std::uint64_t number = 0;
  Nanos now = kSecond;
  int responses_sent = 0;
};

inline fleet::ServerList server_list_of(fleet::ServerList::ServerIndices places) {
  return {std::make_shared<const fleet::ServerList::ServerIndices>(std::move(places))};
}

// "read" and "set" have subsets of ten out of all servers, "near" runs on six servers, and "write" is
// keyed, so that its requests go to shard owners.
inline routing::Snapshot snapshot_with_subsets(int nodes = 60) {
  routing::Snapshot out = sample_snapshot(nodes);
  for (std::size_t i = 0; i < out.nodes.size(); ++i) out.nodes[i].zone = i % 2 ? "a" : "b";
  out.service_listeners = true;
  out.request_classes[0].subset_size = 10;
  out.request_classes[2].subset_size = 10;
  out.request_classes.push_back(
      {.name = "near", .path = "/near", .timeout = kSecond, .servers = server_list_of({0, 1, 2, 3, 4, 5})});
  return out;
}

inline const SubsetResources& subsets_of(const ResourceSet& set, const std::string& cluster) {
  return *set.of(ResourceType::kEndpoints).at(cluster)->subsets;
}

// The names of the servers of a cluster, as the proxy has applied them.
inline std::set<std::string> servers_of(const DiscoveryHarness::Proxy& proxy, const std::string& cluster) {
  std::set<std::string> out;
  for (const auto& locality : proxy.client.applied()->endpoints.at(cluster)->endpoints()) {
    out.insert(locality.locality().sub_zone());
  }
  return out;
}

}  // namespace myrtlecroft::xds
