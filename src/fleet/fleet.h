// The fleet as its operators describe it: servers, request classes, and how quickly anything may change.
//
// Read from a file by fleet_file.h; used by routing, agreement, releases and control. Plain data, in
// nanoseconds where it is a time; replaced as a whole by a reload.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::fleet {

// A server.
struct Node {
  std::string name;
  std::string zone;
  std::string host;  // an IPv4 address in numbers
  std::uint16_t port = 0;
  double capacity = 1;  // relative to other servers; the cores, where these are alike
  int priority = 0;  // servers of a higher number get requests only where those of lower ones lack capacity

  bool operator==(const Node&) const = default;
  std::string address() const { return host + ":" + std::to_string(port); }
};

// How much may be out of service at once, for whatever reason.
struct MaxUnavailable {
  bool by_count = false;
  double max = 1;  // so many servers by count, else a share of the capacity

  bool operator==(const MaxUnavailable&) const = default;
};

// What servers depend on: an engine, a database, a rack.
struct Service {
  std::string name;
  std::vector<std::string> used_by;  // names of servers, each once
  MaxUnavailable max_unavailable;

  bool operator==(const Service&) const = default;
};

// What may be out for maintenance: drains and releases (docs/releases.md).
struct MaintenanceOptions {
  MaxUnavailable max_unavailable{.by_count = false, .max = 0.1};
  MaxUnavailable zone_max_unavailable;
  double reserve = 0.1;  // share of the remaining capacity that must be free at the current load
  Nanos lease_duration = 120'000 * kMs;  // at least; a lease in use is extended

  bool operator==(const MaintenanceOptions&) const = default;
};

struct RequestClass {
  std::string name;
  std::string path;  // of its requests
  Idempotency idempotency = Idempotency::kIdempotent;
  double priority_weight = 1;
  Nanos latency_objective = 0;
  Nanos client_timeout = 0;
  Nanos deduplication_window = 0;  // kKeyed only
  std::string key_header;  // kKeyed: of the idempotency key; kIdempotent: of what a read is about, or empty
  MaxUnavailable max_unavailable;  // every server serves every class: the smallest of these binds the fleet
  ServerList servers = {};
  std::uint32_t subset_size = 0;  // servers that each caller gets; 0: all of them

  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  std::string name;
  double quota = 0;  // share of the fleet, from 0 to 1

  bool operator==(const Tenant&) const = default;
};

// How much may change, and how quickly.
struct Bounds {
  // Servers.
  Nanos lost_after = 1000 * kMs;          // without a report, a server is lost
  Nanos unresponsive_after = 1500 * kMs;  // without an answer to what it accepted, a server is unresponsive
  Nanos min_time_out_of_rotation = 2000 * kMs;  // at least this long out before a server returns
  Nanos clock_skew = 2000 * kMs;                // a server's clock may be ahead of ours by this much
  double max_unavailable = 0.34;  // panic threshold: share of the capacity that may be out for faults
  double partition_threshold =
      0.5;  // share of the servers silent at once: then it is control that is cut off
  // Weights.
  Nanos slow_start = 10'000 * kMs;            // of a server that returns or is warming up
  double initial_slow_start_factor = 0.1;     // share of its weight that slow start begins with
  double max_weight_change_per_second = 0.2;  // a second: how quickly a weight may follow
  double min_weight = 0.1;                    // share of its capacity that a server in service keeps
  // Admission and retries at the proxies.
  double max_shed_change_per_second = 0.1;  // a second: how quickly the share that is shed may follow
  double min_admitted = 0.05;               // share of each request class that is always admitted
  double retry_budget = 0.1;                // retries as a share of what is in flight, over the whole fleet
  int max_retries = 2;                      // of one request
  // Shards of the idempotency keys.
  int shard_digits = 2;         // hexadecimal digits of a key that name its shard
  double max_migrating = 0.05;  // share of the shards that may be closed to even out the load
  Nanos disconnected_proxy_expiry =
      600'000 * kMs;  // a disconnected proxy may still send by its last snapshot for this long
  // Publications.
  Nanos publish_interval = 200 * kMs;  // at least this long between two: changes in between come together

  bool operator==(const Bounds&) const = default;
};

struct Fleet {
  std::string listener;  // the name that proxies request
  int proxies = 1;       // how many are expected; bounds for each are parts of the fleet's
  std::vector<Node> nodes;
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  std::vector<Service> services;
  bool service_listeners = false;  // callers may request one class by its name; with subsets only
  MaintenanceOptions maintenance;
  Bounds bounds;

  bool operator==(const Fleet&) const = default;
  // nullptr for an unknown name. Looks through all servers.
  const Node* node(const std::string& name) const;
  std::size_t shards() const { return std::size_t{1} << (4 * bounds.shard_digits); }
  // The longest time within which a request with an idempotency key may be retried, and run late: the owner
  // of a key can't change in less. 0 where no class has such keys.
  Nanos longest_deduplication_window() const;
};

}  // namespace myrtlecroft::fleet
