// Builds the leader's proposals: the difference between its router's conclusions and the committed state, as
// one decision. Measurements (reports, pressure, unpublished weights) stay on the replica that made them; a
// decision has what other replicas must know or need in order to go on after the leader fails. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement/replicated_state.h"
#include "consensus/raft_node.h"
#include "routing/router.h"

namespace myrtlecroft::agreement {

// The proxies of each replica, as its last heartbeat listed them. Not thread-safe.
class ProxyRegistry {
 public:
  // A replica's list is fresh for this long and takes precedence over older ones. An older list counts only
  // for proxies that no fresh list has: a proxy that reconnected elsewhere is not judged by the last list of
  // a replica that has failed.
  explicit ProxyRegistry(Nanos fresh_for) : fresh_for_(fresh_for) {}

  // Replaces the list of one replica. `now`: this replica's clock.
  void update(consensus::ReplicaId by,
              const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& proxies, Nanos now);
  // Renews the age of a replica's unchanged list.
  void refresh(consensus::ReplicaId by, Nanos now) { by_replica_[by].received_at = now; }
  void remove(consensus::ReplicaId id) {
    by_replica_.erase(id);
    ++revision_;
  }

  // The latest publication that every proxy of the committed list has applied. A proxy that no replica lists
  // counts with the last publication it was known to have.
  std::uint64_t applied_by_all(const ReplicatedState& committed, Nanos now);
  // Ids of the proxies that any replica lists as connected.
  const std::set<std::string>& connected();

 private:
  using ProxyStatuses = google::protobuf::RepeatedPtrField<consensus::ProxyStatus>;
  struct ReceivedList {
    Nanos received_at = 0;
    ProxyStatuses statuses;  // in the order received
    std::map<std::string, consensus::ProxyStatus> proxies;
  };
  // The inputs of `min_applied_`, which is computed again only where one of them has changed.
  struct Basis {
    std::uint64_t revision = 0;
    Epoch proxies_epoch;
    std::vector<consensus::ReplicaId> fresh;  // replicas whose list is fresh

    bool operator==(const Basis&) const = default;
  };
  Basis basis(const ReplicatedState& committed, Nanos now) const;
  std::uint64_t min_applied(const ReplicatedState& committed, Nanos now) const;

  Nanos fresh_for_;
  std::map<consensus::ReplicaId, ReceivedList> by_replica_;
  std::map<std::string, std::uint64_t> last_applied_;  // by proxies that disconnected
  std::uint64_t revision_ = 1;  // incremented by each list that differs from the one before
  Basis min_basis_;
  std::uint64_t min_applied_ = 0;
  std::uint64_t connected_revision_ = 0;  // the revision that `connected_` was built from
  std::set<std::string> connected_;
};

// The leader's conclusions that a proposal is built from.
struct ProposalContext {
  const routing::Router* router = nullptr;
  const routing::PublishedSnapshot* next = nullptr;  // nullptr: the snapshot has not changed
  ProxyRegistry* proxies = nullptr;
  std::map<std::uint64_t, ReplicaInfo> replicas;  // as reported in their heartbeats, by id
  std::set<std::uint64_t> members;                // ids of the cluster's members
  std::uint64_t applied = 0;  // the publication that all proxies have, as given to the router
  bool first_start = false;
  std::uint32_t format = 1;  // newest entry format that all replicas know
};

// Returns a decision with all that differs from the committed state. The caller sets basis, term and time.
Decision build_proposal(const ReplicatedState& committed, const ProposalContext& context);
// Whether the decision changes more than the replicated time.
bool has_changes(const Decision& decision);

}  // namespace myrtlecroft::agreement
