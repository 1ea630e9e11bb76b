// The configuration of a Controller, fixed when its server starts: request classes, tenants, limits and
// costs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlecroft {

// A time or duration in nanoseconds.
using Nanos = std::int64_t;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

// Whether a request may run more than once.
enum class Idempotency {
  kIdempotent,  // may run any number of times
  kKeyed,       // runs at most once for each idempotency key within the deduplication window
  kNone         // an attempt that may have run is never repeated
};
// What stopping a run does: it can't be stopped, its work is discarded, or its work is suspended.
enum class StopMode { kNone, kDiscard, kFreeze };
// The meaning of the value that is advertised to callers.
enum class AdvertisedCapacity {
  kNone,         // no value is advertised
  kMinPriority,  // callers hold back requests whose priority is below the value
  kMaxInFlight,  // requests that each caller may have in flight
  kWeight        // load-balancing weight, relative to other servers
};

// Requests of one kind that share a configuration.
struct RequestClass {
  std::string name;
  Idempotency idempotency = Idempotency::kIdempotent;
  double priority_weight = 1;
  double late_weight_share = 0;      // share of the weight that an answer past the latency objective has
  double degraded_weight_share = 0;  // share of the weight that an answer without the dependency call
                                     // has; 0: the call is required
  bool makes_calls = false;          // to the dependency
  Nanos latency_objective = 0;
  Nanos client_timeout = 0;
  Nanos deduplication_window = 0;  // keyed classes: how long retries are recognized
};

// An owner of requests.
struct Tenant {
  std::string name;
  double quota_per_s = 0;  // requests per second over the whole fleet; 0: no quota
};

// The limits and costs of one server, and the classes and tenants of its requests.
struct ServiceConfig {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  int servers = 1;  // in the fleet
  int callers = 1;  // that send requests to this server
  int cores = 1;
  double memory_kb = 0;
  double running_memory_factor = 1;  // ratio of a request's memory while running to that while queued
  double key_kb = 0;                 // memory of a retained key
  double over_quota_weight = 1;      // share of the priority weight that requests beyond their quota have
  bool weight_is_per_core_second = false;  // priority weights apply to each core-second of work
  bool warming_up = false;
  double warm_up_initial_speed = 1;  // share of its full speed at which a server starts
  Nanos warm_up_time = 0;
  double max_running_per_core = 1;  // running requests per core that a warmed-up server survives
  Nanos contention_window = 0;
  bool has_dependency = false;
  double dependency_share = 0;  // mean number of calls that this server may have in flight
  Nanos dependency_window = 0;
  Nanos abandoned_call_lifetime = 0;  // how long an abandoned call still occupies the dependency
  Nanos answer_sharing_window = 0;    // how long the answer of a read may be shared
  Nanos drain_grace = 0;              // how long arrivals may still run after a drain began
  Nanos answer_slack = 0;
  Nanos tick = 0;             // resolution of the server's clock
  Nanos max_idle_time = 0;    // after which callers close an idle connection; 0: unknown
  Nanos max_retry_after = 0;  // longest Retry-After that is sent to callers; 0: none is sent
  StopMode stop_mode = StopMode::kNone;
  AdvertisedCapacity advertised_capacity = AdvertisedCapacity::kNone;
};

}  // namespace myrtlecroft
