// The fleet as its operators describe it: servers, request classes, and limits on how quickly routing
// changes.
//
// Read from a file by fleet_file.h; used by routing, agreement, releases and control. Plain data; times are
// in nanoseconds. A reload replaces the whole description.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::fleet {

// One server of the fleet.
struct Node {
  std::string name;
  std::string zone;
  std::string host;  // IPv4 address in dotted decimal notation
  std::uint16_t port = 0;
  double capacity = 1;  // relative to other servers; the number of cores, if all cores are alike
  int priority = 0;  // servers with a higher number are used only if those with lower numbers lack capacity

  bool operator==(const Node&) const = default;
  std::string address() const { return host + ":" + std::to_string(port); }
};

// Limit on how much may be out of service at the same time, for whatever reason.
struct MaxUnavailable {
  bool by_count = false;  // `max` is a number of servers; otherwise a share of the capacity
  double max = 1;

  bool operator==(const MaxUnavailable&) const = default;
};

// Something that servers depend on: an engine, a database, a rack.
struct Service {
  std::string name;
  std::vector<std::string> used_by;  // names of the dependent servers, without duplicates
  MaxUnavailable max_unavailable;

  bool operator==(const Service&) const = default;
};

// Limits of maintenance, that is, of drains and releases (docs/releases.md).
struct MaintenanceOptions {
  MaxUnavailable max_unavailable{.by_count = false, .max = 0.1};
  MaxUnavailable zone_max_unavailable;
  double reserve = 0.1;  // share of the remaining capacity that must stay free at the current load
  Nanos lease_duration = 120'000 * kMs;  // minimum; a lease in use is extended

  bool operator==(const MaintenanceOptions&) const = default;
};

// Requests of one kind, which share one configuration.
struct RequestClass {
  std::string name;
  std::string path;  // request path, begins with '/'
  Idempotency idempotency = Idempotency::kIdempotent;
  double priority_weight = 1;
  Nanos latency_objective = 0;
  Nanos client_timeout = 0;
  Nanos deduplication_window = 0;  // kKeyed only
  // Name of the header with the idempotency key (kKeyed) or with the lookup key of a read (kIdempotent; may
  // be empty).
  std::string key_header;
  MaxUnavailable max_unavailable;  // every server serves every class: the smallest limit applies to the fleet
  ServerList servers = {};
  std::uint32_t subset_size = 0;  // number of servers that each caller gets; 0: all of them

  bool operator==(const RequestClass&) const = default;
};

// An owner of requests and its guaranteed share.
struct Tenant {
  std::string name;
  double quota = 0;  // share of the fleet's capacity, from 0 to 1

  bool operator==(const Tenant&) const = default;
};

// Limits and rates that keep routing stable. Shares are from 0 to 1.
struct Bounds {
  // Servers.
  Nanos lost_after = 1000 * kMs;                // a server without a report for this long is lost
  Nanos unresponsive_after = 1500 * kMs;        // a server that answers nothing for this long is unresponsive
  Nanos min_time_out_of_rotation = 2000 * kMs;  // a server stays out for at least this long
  Nanos clock_skew = 2000 * kMs;                // how far a server's clock may be ahead of control's
  double max_unavailable = 0.34;  // panic threshold: share of the capacity that may be out because of faults
  // Share of the capacity: if more is silent at once, the control service assumes that it is cut off.
  double partition_threshold = 0.5;
  // Weights.
  Nanos slow_start = 10'000 * kMs;         // duration, for a server that returns or is warming up
  double initial_slow_start_factor = 0.1;  // share of the weight at the start of slow start
  double max_weight_change_per_second = 0.2;
  double min_weight = 0.1;  // share of its capacity that a server in service retains
  // Admission and retries at the proxies.
  double max_shed_change_per_second = 0.1;  // change of the share that is shed
  double min_admitted = 0.05;               // share of each request class that is always admitted
  double retry_budget = 0.1;                // retries as a share of the fleet's requests in flight
  int max_retries = 2;                      // for one request
  // Shards of the idempotency keys.
  int shard_digits = 2;         // leading hexadecimal digits of a key that select its shard
  double max_migrating = 0.05;  // share of the shards that may be closed at once to rebalance the load
  // A disconnected proxy may route by its last snapshot for this long.
  Nanos disconnected_proxy_expiry = 600'000 * kMs;
  // Publications.
  Nanos publish_interval = 200 * kMs;  // minimum time between two; changes in between are combined

  bool operator==(const Bounds&) const = default;
};

// The whole content of a fleet file.
struct Fleet {
  std::string listener;  // name of the xDS listener that proxies request
  int proxies = 1;       // expected number; limits for the fleet are divided by it
  std::vector<Node> nodes;
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  std::vector<Service> services;
  // Callers may request a listener for one request class by its name; only with subsets.
  bool service_listeners = false;
  MaintenanceOptions maintenance;
  Bounds bounds;

  bool operator==(const Fleet&) const = default;
  // Returns the server of that name, or nullptr. Takes linear time.
  const Node* node(const std::string& name) const;
  // Number of shards of the idempotency keys.
  std::size_t shards() const { return std::size_t{1} << (4 * bounds.shard_digits); }
  // Returns the longest time in which a request with an idempotency key may be retried, or run late after its
  // client's timeout. The owner of a key must not change in less time. 0 if no request class has such keys.
  Nanos longest_deduplication_window() const;
};

}  // namespace myrtlecroft::fleet
