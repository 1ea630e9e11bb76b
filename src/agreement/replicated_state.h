// What the fleet has agreed on: who may run which keys, what is served, who may be served it, and since when;
// who may be out.
// Entries of the common log change it, the same on every instance. No I/O, no clock: time enters only as part
// of an entry.
//
// A decision is in force whole or not at all. Whoever draws one up is checked here by rules that share
// nothing with how it was drawn up: an instance in error, or one that decided from an older state, changes
// nothing.
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

constexpr std::uint32_t kEntryFormat = 2;        // of entries and images, that this version knows
constexpr std::uint32_t kMaintenanceFormat = 2;  // from which on there are permits, releases and commands
constexpr Nanos kMaxElapsed = 2000 * kMs;  // of one entry: a clock that jumps shortens no window by more

enum class ApplyResult {
  kApplied,
  kStaleBasis,          // drawn from another state than this
  kStaleTerm,           // of an earlier leader
  kInvalidTime,         // time that goes back, or leaps
  kInvalidShards,       // a step that the table below does not have, or too early
  kInvalidSnapshot,     // shows a shard open to another than its owner, or is not the next one
  kInvalidMaintenance,  // a server, a release or a command takes a step that it does not have
  kInvalidProxies,      // forgets one that may still send
  kMalformed,
  kUnknownFormat  // of a form this version does not know: nothing further can be applied here
};
const char* name_of(ApplyResult verdict);

struct AgreedInstance {
  std::uint32_t format = 0;
  std::uint64_t settings = 0;
  bool operator==(const AgreedInstance&) const = default;
};

constexpr Nanos kProxyConnected = -1;  // of a proxy that is not known to be gone

class ReplicatedState {
 public:
  // `knows`: the newest form of entries that it takes.
  explicit ReplicatedState(std::uint32_t knows = kEntryFormat) : knows_(knows) {}

  ApplyResult apply(std::string_view entry);
  ApplyResult apply(const Decision& decision);

  std::string image() const;
  // False, and nothing changes, where it is of a form this version does not know.
  bool restore(std::string_view image);

  Epoch epoch() const { return epoch_; }
  Epoch assignments_epoch() const { return owners_epoch_; }  // the last that changed what servers are told
  Nanos time() const { return time_; }
  Nanos window() const { return window_; }
  Nanos disconnected_proxy_expiry() const { return forget_proxies_; }
  const std::vector<routing::Shard>& shards() const { return shards_; }
  std::size_t closed_shards() const;  // shards that nobody may run
  const routing_state::Snapshot& snapshot() const { return *snapshot_; }
  std::uint64_t published() const { return snapshot_->number(); }
  const std::map<std::string, routing_state::PersistedNode>& nodes() const { return nodes_; }
  const std::map<std::string, Nanos>& proxies() const {
    return proxies_;
  }                                                       // since when gone, or kProxyConnected
  Epoch proxies_epoch() const { return proxies_epoch_; }  // the last that changed proxies(), or a later one
  const MaintenanceState& maintenance() const { return maintenance_; }
  const std::map<std::uint64_t, AgreedInstance>& instances() const { return instances_; }
  std::uint64_t rejected_entries() const {
    return refused_;
  }  // entries without effect, by this instance's count
  // Two instances at one epoch have the same.
  std::uint64_t digest() const;

 private:
  ApplyResult check_and_apply(const Decision& decision);
  // Parts of it, in this order. False where that part of the decision is invalid.
  void apply_servers(const Decision& decision);
  bool apply_shards(const Decision& decision);
  bool apply_snapshot(const Decision& decision);
  bool apply_proxies(const Decision& decision);
  bool apply_maintenance(const Decision& decision);
  bool apply_shard_step(const ShardStep& step, const Decision& decision);
  bool take_shard_step(const ShardStep& step, const Decision& decision, routing::Shard& shard) const;
  bool matches_agreed_owners(const routing_state::Snapshot& snapshot) const;

  std::uint32_t knows_;
  std::uint32_t form_ = 1;  // the newest of what was agreed: an image is of no newer one
  Epoch epoch_;
  Epoch owners_epoch_;
  Nanos time_ = 0;
  Nanos window_ = 0;
  Nanos forget_proxies_ = 0;
  std::map<std::string, routing_state::PersistedNode> nodes_;
  std::vector<routing::Shard> shards_;
  // Shared: a decision is tried on a copy of the state, and most leave the snapshot as it is.
  std::shared_ptr<const routing_state::Snapshot> snapshot_ =
      std::make_shared<const routing_state::Snapshot>();
  std::map<std::string, Nanos> proxies_;
  Epoch proxies_epoch_;
  MaintenanceState maintenance_;
  std::map<std::uint64_t, AgreedInstance> instances_;
  std::uint64_t refused_ = 0;
};

}  // namespace myrtlecroft::agreement
