// The fleet as its operators describe it: servers, request classes, and how quickly anything may change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::fleet {

struct Node {
  std::string name;
  std::string zone;
  std::string host;  // an IPv4 address in numbers
  std::uint16_t port = 0;
  double capacity = 1;  // relative to other servers; the cores, where these are alike
  int priority = 0;     // a server of a higher number gets requests only where those of lower ones are short

  bool operator==(const Node&) const = default;
  std::string address() const { return host + ":" + std::to_string(port); }
};

// How much may be out at once, by choice or not: so many servers, or a share of the capacity.
struct MaxUnavailable {
  bool by_count = false;
  double max = 1;

  bool operator==(const MaxUnavailable&) const = default;
};

// What servers depend on: an engine, a database, a rack.
struct Service {
  std::string name;
  std::vector<std::string> used_by;  // servers
  MaxUnavailable max_unavailable;

  bool operator==(const Service&) const = default;
};

// What may be out by choice: drains and releases (docs/releases.md).
struct MaintenanceOptions {
  MaxUnavailable max_unavailable{.by_count = false, .max = 0.1};
  MaxUnavailable zone_max_unavailable;
  double reserve = 0.1;                  // of what stays, that must be to spare at the load of the moment
  Nanos lease_duration = 120'000 * kMs;  // at least; one that is in use is drawn out

  bool operator==(const MaintenanceOptions&) const = default;
};

struct RequestClass {
  std::string name;
  std::string path;  // what its requests ask for
  Idempotency idempotency = Idempotency::kIdempotent;
  double priority_weight = 1;
  Nanos latency_objective = 0;
  Nanos client_timeout = 0;
  Nanos deduplication_window = 0;  // of a deduplicated group
  std::string key_header;  // deduplicated: what all tries carry; repeatable: what a read is about, or empty
  MaxUnavailable max_unavailable;  // every server serves every group: the least of them binds the fleet
  ServerList servers = {};
  std::uint32_t subset_size = 0;  // servers that each caller is told of; 0: all of them

  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  std::string name;
  double quota = 0;  // share of the fleet, from 0 to 1

  bool operator==(const Tenant&) const = default;
};

// How much may change, and how quickly.
struct Bounds {
  Nanos lost_after = 1000 * kMs;           // without a report, a server is out
  Nanos unresponsive_after = 1500 * kMs;   // takes requests and answers none for this long, and it is out
  Nanos dwell = 2000 * kMs;                // at least this long out before a server is let in again
  Nanos slow_start = 10'000 * kMs;         // of a server that comes in cold
  double initial_slow_start_factor = 0.1;  // share of its weight that a cold server starts at
  double max_unavailable = 0.34;           // share of the capacity that may be out by our own choice
  double partitioned_at = 0.5;           // share of the servers silent at once: then it is we who are cut off
  double weight_step = 0.2;              // a second: how quickly a weight may follow
  double min_weight = 0.1;               // share of its capacity that a server in service keeps
  double shed_step = 0.1;                // a second: how quickly admission at the proxies may follow
  double min_admitted = 0.05;            // share of each group that proxies always let through
  double retry_budget = 0.1;             // repeats as a share of what is in flight, over the whole fleet
  int max_retries = 2;                   // of one request
  int shard_digits = 2;                  // hexadecimal digits of a key that name its shard
  double max_migrating = 0.05;           // share of the shards that may be closed to even out the load
  Nanos forget_proxies = 600'000 * kMs;  // a proxy that is gone may still send by its last set for this long
  Nanos clock_skew = 2000 * kMs;         // a server's clock may be ahead of ours by this much
  Nanos publish_interval = 200 * kMs;              // changes that come together are served together

  bool operator==(const Bounds&) const = default;
};

struct Fleet {
  std::string listener;  // the name proxies ask for
  int proxies = 1;       // how many are expected; bounds for each are shares of the fleet's
  std::vector<Node> nodes;
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  std::vector<Service> services;
  bool service_listeners = false;  // callers may ask for one service by its name; with subsetting only
  MaintenanceOptions maintenance;
  Bounds bounds;

  bool operator==(const Fleet&) const = default;
  const Node* node(const std::string& name) const;
  std::size_t shards() const { return std::size_t{1} << (4 * bounds.shard_digits); }
  // The longest time within which some deduplicated request may come again, and run late: a key's server
  // can't change in less. 0 where there is no such group.
  Nanos longest_window() const;
};

// Throws settings::DocumentError.
Fleet read_fleet(const std::string& path);

}  // namespace myrtlecroft::fleet
