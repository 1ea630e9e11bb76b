// A complete, consistent and immutable description of how proxies route requests.
//
// Built by Router, served by xds, stored and replicated through routing_state. Plain data; shared between
// threads as `std::shared_ptr<const PublishedSnapshot>`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/server_list.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft::routing {

// Whether proxies send requests to a server. A draining server finishes the requests that it has.
enum class Health { kHealthy, kDraining, kOutOfRotation };
// Returns a short name, which is also part of the endpoint fingerprints in xds.
const char* name_of(Health health);

// How requests are routed to one server.
struct NodeRoute {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  int priority = 0;
  Health health = Health::kOutOfRotation;
  std::uint32_t weight = 0;     // relative to other servers; greater than 0 if healthy
  std::uint32_t in_flight = 0;  // requests that each proxy may have in flight to it; 0 = not known

  bool operator==(const NodeRoute&) const = default;
};

// The failures after which a proxy may retry a request. The numeric values are stored and must not change.
enum class RetryOn {
  kNeverSent,      // no connection, or the server refused the stream
  kRejected,       // the server answered that the request never ran
  kReset,          // the connection broke, or the server sent no answer: the request may have run
  kAttemptTimeout  // the time limit of one attempt is over: the request may have run
};

// When and how often proxies retry the requests of a class.
struct RetryPolicy {
  std::vector<RetryOn> on;
  int retries = 0;                // of one request, in addition to the first attempt
  bool same_node = false;         // retries go to the server of the first attempt
  Nanos per_attempt_timeout = 0;  // 0 = no limit but the timeout of the whole request
  Nanos backoff_min = 0;          // delay before a retry, from backoff_min to backoff_max
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
  std::uint32_t admitted = 10'000;  // in ten-thousandths; proxies reject the rest, which never runs
  Nanos retry_after = 0;            // sent with such a rejection
  fleet::ServerList servers = {};   // indices into Snapshot::nodes
  std::uint32_t subset_size = 0;    // number of servers that each caller gets (routing/subsets.h); 0: all

  bool operator==(const RequestClassRoute&) const = default;
};

// The guaranteed share of one tenant.
struct TenantQuota {
  std::string name;
  std::uint32_t quota = 0;  // share of the fleet in ten-thousandths

  bool operator==(const TenantQuota&) const = default;
};

// Stands for the owner of a closed shard: no server may run requests with its keys.
constexpr int kClosed = -1;

// All routing decisions at one point in time.
struct Snapshot {
  std::string listener;
  int shard_digits = 2;
  double retry_budget = 0;  // retries as a share of the requests in flight
  int expected_proxies = 1;
  Nanos closed_retry_after = 0;  // sent with rejections for closed shards: how long one may stay closed
  std::vector<NodeRoute> nodes;
  std::vector<RequestClassRoute> request_classes;
  std::vector<TenantQuota> tenants;
  std::vector<int> shards;         // owner of each shard as an index into `nodes`, or kClosed
  bool service_listeners = false;  // each request class has its own listener and routes under its name

  bool operator==(const Snapshot&) const = default;
};

// A published snapshot. The number increases by one with each snapshot that differs from the previous one.
struct PublishedSnapshot {
  std::uint64_t number = 0;
  Snapshot snapshot;
};

// The reason why a snapshot must not be served.
struct SnapshotError {
  enum class Kind {
    kNoListener,
    kNoRequestClass,
    kNoHealthyServer,
    kDuplicateServer,        // `subject` is the server
    kServerWithoutAddress,   // the same
    kServerWithoutWeight,    // the same; the server is healthy
    kDuplicateRequestClass,  // `subject` is the request class, here and for the kinds below
    kKeyedClassWithServers,  // any server may own its keys, yet it names servers or a subset size
    kRequestClassWithoutServers,
    kUnknownServer,  // its server list has an index out of range or is not in ascending order
    kNamedLikeListener,
    kNoTimeout,
    kUnsafeRetry,           // not idempotent, yet it would retry requests that may have run
    kRetryAtAnotherServer,  // keyed, yet it would retry at a server that does not own the key
    kMissingShards,
    kUnknownShardOwner,
  };
  Kind kind;
  std::string subject = {};  // a name, or empty

  bool operator==(const SnapshotError&) const = default;
  // Returns the error as a log message.
  std::string message() const;
};

// Validates a snapshot. Returns the first error, or std::nullopt if the snapshot may be served.
std::optional<SnapshotError> find_error(const Snapshot& snapshot);

}  // namespace myrtlecroft::routing
