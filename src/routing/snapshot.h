// Where requests go and how many: one complete, consistent snapshot, never changed once it is made.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::routing {

enum class Health { kHealthy, kDraining, kOut };
const char* name_of(Health health);

struct NodeRoute {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  int priority = 0;
  Health health = Health::kOut;
  std::uint32_t weight = 0;     // relative; above 0 where healthy
  std::uint32_t in_flight = 0;  // requests that each proxy may have at it at once; 0 = not known

  bool operator==(const NodeRoute&) const = default;
};

// What a proxy may do again of one request that did not end well.
enum class RetryOn {
  kNeverSent,  // no connection, or the server refused the stream
  kRejected,   // the server said that it never ran
  kReset,      // the connection broke, or the server said nothing: it may have run
  kLate        // the time limit of one try is over: it may have run
};

struct RetryPolicy {
  std::vector<RetryOn> on;
  int retries = 0;
  bool same_node = false;
  Nanos per_try = 0;   // 0 = as long as the whole request
  Nanos wait_min = 0;  // before a repeat
  Nanos wait_max = 0;

  bool operator==(const RetryPolicy&) const = default;
};

struct RequestClassRoute {
  std::string name;
  std::string path;
  Idempotency idempotency = Idempotency::kIdempotent;
  std::string key_header;
  Nanos timeout = 0;
  RetryPolicy retry_policy;
  std::uint32_t admitted = 10'000;  // of ten thousand; the rest is rejected by the proxies, and never ran
  Nanos retry_after = 0;            // told with such a rejection
  fleet::ServerList servers = {};   // places in Snapshot::servers
  std::uint32_t subset_size = 0;    // servers that each caller is told of (routing/subsets.h); 0: all of them

  bool operator==(const RequestClassRoute&) const = default;
};

struct TenantQuota {
  std::string name;
  std::uint32_t share = 0;  // of ten thousand

  bool operator==(const TenantQuota&) const = default;
};

constexpr int kClosed = -1;  // nobody may run what has a key of this shard

struct Snapshot {
  std::string listener;
  int shard_digits = 2;
  double retry_budget = 0;  // repeats, as a share of what is in flight
  int expected_proxies = 1;
  Nanos closed_for = 0;  // how long a closed shard may stay so: told with the answer
  std::vector<NodeRoute> nodes;
  std::vector<RequestClassRoute> request_classes;
  std::vector<TenantQuota> tenants;
  std::vector<int> shards;         // place in `servers` of the one that owns it, or kClosed
  bool service_listeners = false;  // each group has a listener and routes of its own, by its name

  bool operator==(const Snapshot&) const = default;
};

// A snapshot as it was published. Numbers grow by one with each that differs from the one before.
struct Published {
  std::uint64_t number = 0;
  Snapshot snapshot;
};

// What makes a snapshot unfit to be served, as one line; empty when nothing does.
std::string fault_of(const Snapshot& snapshot);

}  // namespace myrtlecroft::routing
