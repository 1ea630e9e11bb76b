// Where requests go and how many: one complete, consistent snapshot, never changed once it is made.
//
// Made by Router, served by xds, stored and agreed on through routing_state. Plain data; shared between
// threads as `std::shared_ptr<const PublishedSnapshot>`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::routing {

// Whether proxies send a server requests; a draining one finishes those it has.
enum class Health { kHealthy, kDraining, kOutOfRotation };
const char* name_of(Health health);

struct NodeRoute {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  int priority = 0;
  Health health = Health::kOutOfRotation;
  std::uint32_t weight = 0;     // relative; above 0 where healthy
  std::uint32_t in_flight = 0;  // requests that each proxy may have in flight there; 0 = not known

  bool operator==(const NodeRoute&) const = default;
};

// After which failures a proxy may retry a request. The numbers are stored.
enum class RetryOn {
  kNeverSent,      // no connection, or the server refused the stream
  kRejected,       // the server answered that it never ran
  kReset,          // the connection broke, or the server sent no answer: it may have run
  kAttemptTimeout  // the time limit of one attempt is over: it may have run
};

struct RetryPolicy {
  std::vector<RetryOn> on;
  int retries = 0;                // of one request, beside the first attempt
  bool same_node = false;         // only at the server of the first attempt
  Nanos per_attempt_timeout = 0;  // 0 = as long as the whole request
  Nanos backoff_min = 0;          // before a retry
  Nanos backoff_max = 0;

  bool operator==(const RetryPolicy&) const = default;
};

// How the requests of one request class are routed.
struct RequestClassRoute {
  std::string name;
  std::string path;
  Idempotency idempotency = Idempotency::kIdempotent;
  std::string key_header;
  Nanos timeout = 0;  // of the whole request
  RetryPolicy retry_policy;
  std::uint32_t admitted = 10'000;  // of ten thousand; the proxies reject the rest, which never runs
  Nanos retry_after = 0;            // sent with such a rejection
  fleet::ServerList servers = {};   // places in Snapshot::nodes
  std::uint32_t subset_size = 0;    // servers that each caller gets (routing/subsets.h); 0: all of them

  bool operator==(const RequestClassRoute&) const = default;
};

struct TenantQuota {
  std::string name;
  std::uint32_t quota = 0;  // share of the fleet, of ten thousand

  bool operator==(const TenantQuota&) const = default;
};

// In place of an owner: no server may run requests with a key of this shard.
constexpr int kClosed = -1;

struct Snapshot {
  std::string listener;
  int shard_digits = 2;
  double retry_budget = 0;  // retries, as a share of what is in flight
  int expected_proxies = 1;
  Nanos closed_retry_after = 0;  // how long a closed shard may stay so: the hold-off of answers for its keys
  std::vector<NodeRoute> nodes;
  std::vector<RequestClassRoute> request_classes;
  std::vector<TenantQuota> tenants;
  std::vector<int> shards;         // place in `nodes` of the owner, or kClosed
  bool service_listeners = false;  // each request class has a listener and routes of its own, by its name

  bool operator==(const Snapshot&) const = default;
};

// A snapshot as it was published. Numbers grow by one with each that differs from the one before.
struct PublishedSnapshot {
  std::uint64_t number = 0;
  Snapshot snapshot;
};

// Why a snapshot may not be served.
struct SnapshotError {
  enum class Kind {
    kNoListener,
    kNoRequestClass,
    kNoHealthyServer,
    kDuplicateServer,        // `subject` is a server
    kServerWithoutAddress,   // the same
    kServerWithoutWeight,    // the same; it is healthy
    kDuplicateRequestClass,  // `subject` is a request class, here and below
    kKeyedClassWithServers,  // its keys have owners among all servers, and it names servers or a subset size
    kRequestClassWithoutServers,
    kUnknownServer,  // its server list has a place that is no server's, or is not ascending
    kNamedLikeListener,
    kNoTimeout,
    kUnsafeRetry,           // it would retry a request that may have run, and is not idempotent
    kRetryAtAnotherServer,  // it has owners, and would retry at a server that is not the key's owner
    kMissingShards,
    kUnknownShardOwner,
  };
  Kind kind;
  std::string subject = {};  // a name, or empty

  bool operator==(const SnapshotError&) const = default;
  // One line for the log.
  std::string message() const;
};

// The first error found; nothing where the snapshot may be served.
std::optional<SnapshotError> find_error(const Snapshot& snapshot);

}  // namespace myrtlecroft::routing
