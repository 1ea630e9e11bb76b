// Validation of snapshots, and the error messages.
#include "routing/snapshot.h"

#include <algorithm>
#include <functional>
#include <set>

namespace myrtlecroft::routing {
namespace {

using Kind = SnapshotError::Kind;

std::optional<SnapshotError> find_error_in(const std::vector<NodeRoute>& nodes) {
  std::set<std::string> names;
  bool any_healthy = false;
  for (const NodeRoute& node : nodes) {
    bool healthy = node.health == Health::kHealthy;
    if (!names.insert(node.name).second) return SnapshotError{Kind::kDuplicateServer, node.name};
    if (node.host.empty() || node.port == 0) return SnapshotError{Kind::kServerWithoutAddress, node.name};
    if (healthy && node.weight == 0) return SnapshotError{Kind::kServerWithoutWeight, node.name};
    any_healthy = any_healthy || healthy;
  }
  if (!any_healthy) return SnapshotError{Kind::kNoHealthyServer};
  return std::nullopt;
}

std::optional<Kind> find_error_in_servers(const RequestClassRoute& request_class, std::size_t nodes) {
  bool has_owners = request_class.idempotency == Idempotency::kKeyed;
  if (has_owners && (!request_class.servers.all() || request_class.subset_size > 0)) {
    return Kind::kKeyedClassWithServers;
  }
  if (request_class.servers.all()) return std::nullopt;
  const fleet::ServerList::ServerIndices& indices = *request_class.servers.places;
  if (indices.empty()) return Kind::kRequestClassWithoutServers;
  bool ascending =
      std::adjacent_find(indices.begin(), indices.end(), std::greater_equal<>()) == indices.end();
  if (!ascending || indices.back() >= nodes) return Kind::kUnknownServer;
  return std::nullopt;
}

std::optional<Kind> find_error_in_retries(const RequestClassRoute& request_class) {
  const RetryPolicy& policy = request_class.retry_policy;
  bool may_have_run = std::any_of(policy.on.begin(), policy.on.end(), [](RetryOn on) {
    return on == RetryOn::kReset || on == RetryOn::kAttemptTimeout;
  });
  if (may_have_run && request_class.idempotency != Idempotency::kIdempotent) return Kind::kUnsafeRetry;
  if (request_class.idempotency == Idempotency::kKeyed && !policy.same_node && policy.retries > 0) {
    return Kind::kRetryAtAnotherServer;
  }
  return std::nullopt;
}

std::optional<Kind> find_error_in(const RequestClassRoute& request_class, const Snapshot& snapshot) {
  if (std::optional<Kind> error = find_error_in_servers(request_class, snapshot.nodes.size())) return error;
  if (snapshot.service_listeners && request_class.name == snapshot.listener) return Kind::kNamedLikeListener;
  if (request_class.timeout <= 0) return Kind::kNoTimeout;
  return find_error_in_retries(request_class);
}

std::optional<SnapshotError> find_error_in_shards(const Snapshot& snapshot) {
  if (snapshot.shards.size() != std::size_t{1} << (4 * snapshot.shard_digits)) {
    return SnapshotError{Kind::kMissingShards};
  }
  for (int owner : snapshot.shards) {
    if (owner == kClosed) continue;
    if (owner < 0 || static_cast<std::size_t>(owner) >= snapshot.nodes.size()) {
      return SnapshotError{Kind::kUnknownShardOwner};
    }
  }
  return std::nullopt;
}

}  // namespace

const char* name_of(Health health) {
  constexpr const char* kNames[] = {"healthy", "draining", "out"};
  return kNames[static_cast<std::size_t>(health)];
}

std::string SnapshotError::message() const {
  const std::string server = "server " + subject;
  const std::string request_class = "request class " + subject;
  switch (kind) {
    case Kind::kNoListener:
      return "no listener";
    case Kind::kNoRequestClass:
      return "no request class";
    case Kind::kNoHealthyServer:
      return "no server is healthy";
    case Kind::kDuplicateServer:
      return server + " is listed twice";
    case Kind::kServerWithoutAddress:
      return server + " has no address";
    case Kind::kServerWithoutWeight:
      return server + " is healthy but has no weight";
    case Kind::kDuplicateRequestClass:
      return request_class + " is listed twice";
    case Kind::kKeyedClassWithServers:
      return request_class + " is keyed, but lists servers or has subsets";
    case Kind::kRequestClassWithoutServers:
      return request_class + " has no servers";
    case Kind::kUnknownServer:
      return request_class + " lists an unknown server";
    case Kind::kNamedLikeListener:
      return request_class + " has the listener's name";
    case Kind::kNoTimeout:
      return request_class + " has no timeout";
    case Kind::kUnsafeRetry:
      return request_class + " would retry requests that may have run";
    case Kind::kRetryAtAnotherServer:
      return request_class + " would retry at a server that does not own the key";
    case Kind::kMissingShards:
      return "shards are missing";
    case Kind::kUnknownShardOwner:
      return "the owner of a shard is not a known server";
  }
  return "unknown error";
}

std::optional<SnapshotError> find_error(const Snapshot& snapshot) {
  if (snapshot.listener.empty()) return SnapshotError{Kind::kNoListener};
  if (snapshot.request_classes.empty()) return SnapshotError{Kind::kNoRequestClass};
  if (std::optional<SnapshotError> error = find_error_in(snapshot.nodes)) return error;
  std::set<std::string> names;
  for (const RequestClassRoute& request_class : snapshot.request_classes) {
    if (!names.insert(request_class.name).second) {
      return SnapshotError{Kind::kDuplicateRequestClass, request_class.name};
    }
    if (std::optional<Kind> error = find_error_in(request_class, snapshot)) {
      return SnapshotError{*error, request_class.name};
    }
  }
  return find_error_in_shards(snapshot);
}

}  // namespace myrtlecroft::routing
