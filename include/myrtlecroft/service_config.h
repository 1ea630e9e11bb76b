// What a Controller is configured with when its server starts: request classes, tenants, limits and costs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlecroft {

using Nanos = std::int64_t;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

// What may be done again.
enum class Idempotency {
  kIdempotent,  // running it twice does no harm
  kKeyed,       // runs once for each idempotency key within its window
  kNone         // an attempt that may have run is never repeated
};
// What becomes of work that is stopped.
enum class StopMode { kNone, kDiscard, kFreeze };
// What the value advertised to callers means.
enum class AdvertisedCapacity {
  kNone,
  kMinPriority,  // requests below this value are held back by callers
  kMaxInFlight,  // requests that each caller may have in flight
  kWeight        // relative to other servers
};

struct RequestClass {
  std::string name;
  Idempotency idempotency = Idempotency::kIdempotent;
  double priority_weight = 1;
  double late_weight_share = 0;      // of the weight, of an answer past the latency objective
  double degraded_weight_share = 0;  // of the weight, of an answer without the call; 0: the call is required
  bool makes_calls = false;
  Nanos latency_objective = 0;
  Nanos client_timeout = 0;
  Nanos deduplication_window = 0;  // of a keyed class: how long retries may come
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;  // over the whole fleet; 0: none
};

struct ServiceConfig {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  int servers = 1;
  int callers = 1;
  int cores = 1;
  double memory_kb = 0;
  double running_memory_factor = 1;        // memory of a running request over that of a queued one
  double key_kb = 0;                       // memory of a retained key
  double over_quota_weight = 1;            // of the priority weight, of a request beyond its tenant's quota
  bool weight_is_per_core_second = false;  // priority weights are for each second of work
  bool warming_up = false;
  double warm_up_initial_speed = 1;  // least share of its speed that a server starts at
  Nanos warm_up_time = 0;
  double max_running_per_core = 1;  // running requests that a server survives once it has warmed up
  Nanos contention_window = 0;
  bool has_dependency = false;
  double dependency_share = 0;  // mean number of calls in flight that are this server's
  Nanos dependency_window = 0;
  Nanos abandoned_call_lifetime = 0;  // how long an abandoned call occupies the dependency
  Nanos answer_sharing_window = 0;    // how long a read's answer may be shared
  Nanos drain_grace = 0;              // after the notice, during which arrivals may still run
  Nanos answer_slack = 0;
  Nanos tick = 0;
  Nanos max_idle_time = 0;    // callers close connections that are idle for this long; 0: not known
  Nanos max_retry_after = 0;  // the longest Retry-After that reaches callers; 0: none does
  StopMode stop_mode = StopMode::kNone;
  AdvertisedCapacity advertised_capacity = AdvertisedCapacity::kNone;
};

}  // namespace myrtlecroft
