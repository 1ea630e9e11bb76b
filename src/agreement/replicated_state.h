// The replicated state: shard owners, the published snapshot, the proxies that may be served, and
// maintenance. Entries of the replicated log change it in the same way on every replica. No I/O and no clock:
// time only advances by what entries say.
//
// A decision is applied completely or not at all. It is checked by rules that share no code with the
// proposal: a decision of a faulty replica, or one based on an older state, has no effect.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "agreement.pb.h"
#include "agreement/maintenance_state.h"
#include "fencing/epoch.h"
#include "routing/router.h"

namespace myrtlecroft::agreement {

using fencing::Epoch;

constexpr std::uint32_t kEntryFormat = 2;  // newest format of entries and images that this version supports
constexpr std::uint32_t kMaintenanceFormat = 2;  // first format with maintenance, releases and commands
// Most time that one entry may add. Limits how much a clock that jumps can shorten a quarantine.
constexpr Nanos kMaxElapsed = 2000 * kMs;

// Why a decision was applied or rejected.
enum class ApplyResult {
  kApplied,
  kStaleBasis,          // based on another decision than the last one
  kStaleTerm,           // proposed in an earlier term
  kInvalidTime,         // the elapsed time is negative or above kMaxElapsed
  kInvalidShards,       // a step that is not in kShardRules, or comes too early
  kInvalidSnapshot,     // opens a shard to a server that does not own it, or has the wrong number
  kInvalidMaintenance,  // an invalid step of a lease, drain or release, or a repeated command result
  kInvalidProxies,      // disconnects a proxy that is not listed
  kMalformed,
  kUnknownFormat  // newer than this version supports: the replica can't apply any further entry
};
const char* name_of(ApplyResult result);

// Properties that a replica reports about itself.
struct ReplicaInfo {
  std::uint32_t format = 0;    // newest entry format that it knows
  std::uint64_t settings = 0;  // hash of its fleet file
  bool operator==(const ReplicaInfo&) const = default;
};

constexpr Nanos kProxyConnected = -1;  // in proxies(), for a proxy that is not known to be disconnected

// Not thread-safe.
class ReplicatedState {
 public:
  // `max_format`: the newest entry format that is applied.
  explicit ReplicatedState(std::uint32_t max_format = kEntryFormat) : max_format_(max_format) {}

  ApplyResult apply(std::string_view entry);
  ApplyResult apply(const Decision& decision);

  // The complete state, serialized; equal states have equal images.
  std::string image() const;
  // Returns false and changes nothing where the image is malformed or has an unsupported format.
  bool restore(std::string_view image);

  Epoch epoch() const { return epoch_; }
  // The last epoch that changed the servers' assignments.
  Epoch assignments_epoch() const { return assignments_epoch_; }
  // Replicated time: the sum of the elapsed times of all applied decisions.
  Nanos time() const { return time_; }
  // How long a shard stays in quarantine.
  Nanos window() const { return window_; }
  Nanos disconnected_proxy_expiry() const { return disconnected_proxy_expiry_; }
  const std::vector<routing::Shard>& shards() const { return shards_; }
  // The number of shards whose keys no server may run.
  std::size_t closed_shards() const;
  const routing_state::Snapshot& snapshot() const { return *snapshot_; }
  std::uint64_t published() const { return snapshot_->number(); }
  const std::map<std::string, routing_state::PersistedNode>& nodes() const { return nodes_; }
  // By id: the replicated time at which the proxy disconnected, or kProxyConnected.
  const std::map<std::string, Nanos>& proxies() const { return proxies_; }
  // The last epoch that changed proxies(), or a later one.
  Epoch proxies_epoch() const { return proxies_epoch_; }
  const MaintenanceState& maintenance() const { return maintenance_; }
  const std::map<std::uint64_t, ReplicaInfo>& instances() const { return replicas_; }
  // Entries that this object rejected; not part of the image.
  std::uint64_t rejected_entries() const { return rejected_entries_; }
  // A hash of image(); replicas at the same epoch have the same digest.
  std::uint64_t digest() const;

 private:
  ApplyResult check_and_apply(const Decision& decision);
  // The parts of check_and_apply(), in this order; false where that part of the decision is invalid.
  void apply_servers(const Decision& decision);
  bool apply_shards(const Decision& decision);
  bool apply_snapshot(const Decision& decision);
  bool apply_proxies(const Decision& decision);
  bool apply_maintenance(const Decision& decision);
  bool apply_shard_step(const ShardStep& step, const Decision& decision);
  bool update_shard(const ShardStep& step, const Decision& decision, routing::Shard& shard) const;
  bool matches_committed_owners(const routing_state::Snapshot& snapshot) const;

  std::uint32_t max_format_;
  std::uint32_t format_ = 1;  // newest format of any applied entry, and the format of images
  Epoch epoch_;
  Epoch assignments_epoch_;
  Nanos time_ = 0;
  Nanos window_ = 0;
  Nanos disconnected_proxy_expiry_ = 0;
  std::map<std::string, routing_state::PersistedNode> nodes_;
  std::vector<routing::Shard> shards_;
  // Shared, because each decision is applied to a copy of the state and most don't change the snapshot.
  std::shared_ptr<const routing_state::Snapshot> snapshot_ =
      std::make_shared<const routing_state::Snapshot>();
  std::map<std::string, Nanos> proxies_;
  Epoch proxies_epoch_;
  MaintenanceState maintenance_;
  std::map<std::uint64_t, ReplicaInfo> replicas_;
  std::uint64_t rejected_entries_ = 0;
};

}  // namespace myrtlecroft::agreement
